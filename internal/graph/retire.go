package graph

// Jobs go on after a configuration has removed their queue, and they need its settings:
// how many failed runs are allowed, the priority, the service and whether starts need a
// ticket. A configuration therefore keeps the queues that it removes, as retired ones, as
// long as there are jobs of theirs. The leader adds them before it proposes the
// configuration, so that replicas of earlier releases have them as well.

// retiredPrefix is the path prefix of retired queues. No path of a call begins with it,
// so that replicas which do not know of retired queues match none.
const retiredPrefix = "retired"

// QueueAddress is the host and path prefix at which a queue accepts jobs.
type QueueAddress struct {
	Host   string
	Prefix string
}

// IsRetired reports whether a configuration has removed the queue. It accepts no jobs.
func (q *Queue) IsRetired() bool {
	return q.Prefix == retiredPrefix
}

// retired returns the queue as one that has been removed.
func (q *Queue) retired() Queue {
	r := *q
	if !r.IsRetired() {
		r.Former = &QueueAddress{
			Host:   q.Host,
			Prefix: q.Prefix,
		}
	}
	r.Host, r.Prefix = "", retiredPrefix
	return r
}

// WithRetiredQueues returns the configuration with the queues that it removes from the one
// in force. Queues that were retired before are left out once they have no live jobs. If
// the log can't carry all of them, only those with live jobs are kept, or none.
func (l *Ledger) WithRetiredQueues(c *Config) (with *Config, retired int) {
	for _, onlyWithJobs := range []bool{false, true} {
		retained := l.removedBy(c, onlyWithJobs)
		if len(retained) == 0 {
			continue
		}
		with := *c
		with.Queues = append(append([]Queue(nil), c.Queues...), retained...)
		if with.checkEncoding() == nil {
			return &with, len(retained)
		}
	}
	return c, 0
}

// removedBy returns the queues in force that the configuration does not have, as retired
// ones: those with live jobs, and unless only these are asked for, also those that accept
// jobs until the configuration is in force.
func (l *Ledger) removedBy(c *Config, onlyWithJobs bool) []Queue {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil {
		return nil
	}
	kept := map[string]bool{}
	for i := range c.Queues {
		kept[c.Queues[i].Name] = true
	}
	inUse := map[string]bool{}
	for _, job := range l.liveJobs {
		inUse[job.Queue] = true
	}
	var removed []Queue
	for i := range l.config.config.Queues {
		queue := &l.config.config.Queues[i]
		needed := inUse[queue.Name] || !onlyWithJobs && !queue.IsRetired()
		if needed && !kept[queue.Name] {
			removed = append(removed, queue.retired())
		}
	}
	return removed
}
