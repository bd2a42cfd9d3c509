package graph

// Cancels are checked by the leader, with CheckCancel, and then put into the log without
// an address. Replicas apply such a cancel as it is, and one with an address, which a
// leader of an earlier release proposes, as that release does: all replicas have to agree
// whichever release they are of.

// CheckCancel returns the refusal that cancelling the job meets.
func (l *Ledger) CheckCancel(a Address, id JobID) Refusal {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, account, refusal := l.identify(a)
	if refusal != "" {
		return refusal
	}
	job := l.jobs[id]
	if job == nil || !mayCancel(job, queue, account) {
		return RefusedNoJob
	}
	return ""
}

// identify returns the queue of the address, which is nil if there is none, and the name
// of the client account that owns its key. Without a queue only a known key tells who
// calls.
func (l *Ledger) identify(a Address) (*Queue, string, Refusal) {
	queue, account, refusal := l.resolve(a)
	if refusal != RefusedNoQueue {
		return queue, account, refusal
	}
	owner := l.config.keys[a.Key]
	if owner == nil || a.Key == "" {
		return nil, "", RefusedKey
	}
	return nil, owner.Name, ""
}

// mayCancel reports whether a caller of the client account may cancel the job by a call
// to the queue, which is nil if the address names none.
func mayCancel(job *Job, queue *Queue, account string) bool {
	if job.ClientAccount == "" {
		return queue != nil
	}
	return job.ClientAccount == account
}
