package graph

import "strings"

// Cancels are checked by the leader, with CheckCancel, and then put into the log without
// an address. Replicas apply such a cancel as it is, and one with an address, which a
// leader of an earlier release proposes, as that release does: all replicas have to agree
// whichever release they are of.

// CheckCancel returns the refusal that cancelling the job meets.
func (l *Ledger) CheckCancel(a Address, id JobID) Refusal {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil {
		return RefusedNoConfig
	}
	queue, account, refusal := l.identify(a)
	job := l.jobs[id]
	if job != nil && l.mayAccess(job, a, queue, account) {
		return ""
	}
	if refusal != "" {
		return refusal
	}
	return RefusedNoJob
}

// identify returns the queue of the address, which is nil if there is none, and the name
// of the client account that owns its key. Without a queue only a known key tells who
// calls.
func (l *Ledger) identify(a Address) (*Queue, string, Refusal) {
	queue, account, refusal := l.resolve(a)
	if refusal != RefusedNoQueue {
		return queue, account, refusal
	}
	if owner := l.config.ownerOf(a.Key); owner != nil {
		return nil, owner.Name, ""
	}
	return nil, "", RefusedKey
}

// mayAccess reports whether a caller may act on the job. Its client account may, from any
// address. So may all who call the job's own queue, if that is open or if the job was
// handed in without an account, as it was open then. The queue of the address is nil if
// there is none, and the account is empty if the key is unknown.
func (l *Ledger) mayAccess(job *Job, a Address, queue *Queue, account string) bool {
	if account != "" && job.ClientAccount == account {
		return true
	}
	own := l.config.queues[job.Queue]
	switch {
	case queue == nil:
		return job.ClientAccount == "" && own != nil && own.Open && own.wasAt(a)
	case !queue.Open && job.ClientAccount != "":
		return false
	}
	return queue == own || own != nil && own.wasAt(a)
}

// wasAt reports whether the queue is retired and the address was one of its.
func (q *Queue) wasAt(a Address) bool {
	return q.Former != nil && strings.EqualFold(q.Former.Host, a.Host) && strings.HasPrefix(a.Path, q.Former.Prefix)
}
