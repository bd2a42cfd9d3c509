package admit

import "time"

// sharedBacklog is a backlog of the jobs of one priority, in which client accounts are
// served by their weights.
type sharedBacklog struct {
	backlog

	accounts map[string]*waitingAccount
}

// waitingAccount is a client account with waiting jobs.
type waitingAccount struct {
	waiting int
	weight  float64
}

// addWaiting counts a waiting job.
func addWaiting(waiting map[int]map[string]*waitingAccount, job Job) {
	accounts := waiting[job.Priority]
	if accounts == nil {
		accounts = map[string]*waitingAccount{}
		waiting[job.Priority] = accounts
	}
	if accounts[job.Account] == nil {
		accounts[job.Account] = &waitingAccount{weight: weightOf(job)}
	}
	accounts[job.Account].waiting++
}

// weightOf returns the weight of the job's account. Accounts without a weight count alike.
func weightOf(job Job) float64 {
	if job.Weight > 0 {
		return job.Weight
	}
	return 1
}

// updateShared sets the waiting jobs of each backlog, and removes those without any.
func updateShared(backlogs map[int]*sharedBacklog, waiting map[int]map[string]*waitingAccount, now time.Time) {
	for priority := range backlogs {
		if waiting[priority] == nil {
			delete(backlogs, priority)
		}
	}
	for priority, accounts := range waiting {
		b := backlogs[priority]
		if b == nil {
			b = &sharedBacklog{backlog: backlog{since: now}}
			backlogs[priority] = b
		}
		b.accounts = accounts
		b.waiting = 0
		for _, account := range accounts {
			b.waiting += account.waiting
		}
	}
}

// placedOf records that a job of the account got its first placement.
func (b *sharedBacklog) placedOf(account string, now time.Time) {
	b.placed(now)
	if known := b.accounts[account]; known != nil {
		known.waiting = max(0, known.waiting-1)
	}
}

// expectedWaitOf returns how long a new job waits behind the jobs of its own account, and
// behind as many jobs of the others as their weights let them place meanwhile.
func (b *sharedBacklog) expectedWaitOf(job Job, now time.Time) time.Duration {
	own := 0
	if known := b.accounts[job.Account]; known != nil {
		own = known.waiting
	}
	if b.waiting == 0 || job.Account == "" {
		return b.expectedWait(now)
	}
	ahead := float64(own)
	for name, other := range b.accounts {
		if name != job.Account {
			ahead += min(float64(other.waiting), float64(own)*other.weight/weightOf(job))
		}
	}
	return time.Duration(float64(b.expectedWait(now)) * ahead / float64(b.waiting))
}
