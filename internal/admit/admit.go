// Package admit decides whether a cell admits a job while more work arrives than can be
// placed. It refuses jobs that would be completed too late to be of use, and before that
// jobs beyond the rate of their client account, so that clients learn at once that they have
// to retry. Without a backlog it refuses nothing. The package reads no clock and uses no network.
package admit

import "time"

const (
	// rateWindow is the time over which the rate of placements is measured.
	rateWindow = 3 * time.Second
	// minBacklogTime is how long a backlog has to last before the rate of its placements
	// is a usable estimate.
	minBacklogTime = time.Second
	// valueFactor is how many times its objective a job may take and still be of use.
	valueFactor = 3
	// MinRetryAfter is longer than one attempt of a call to the leader, so that an
	// attempt that is still on its way can't be admitted after the next was refused.
	MinRetryAfter = 2 * time.Second

	// jitterFraction spreads the times to come back over a part of the delay, so that
	// clients that were refused together do not come back together.
	jitterFraction = 1.0
	// maxRetryAfter is the longest delay, jitter included.
	maxRetryAfter = 8 * time.Second
	maxBaseDelay  = maxRetryAfter / 2
)

// Job is what the decision needs to know of a job.
type Job struct {
	ID       string
	Account  string
	Priority int
	// Weight is the weight of the client account, or zero if it has none.
	Weight float64
	// Objective is the time in which the job should be done, and CriticalPath the time
	// that it takes if nothing has to wait.
	Objective    time.Duration
	CriticalPath time.Duration
	// OverRate is set if its client account has sent more than its rate.
	OverRate bool
	// Deferrable is set for a job that keeps its use however late it starts, such as
	// one that runs until it is cancelled.
	Deferrable bool
	// NoRoom is set if there is no room to store the job for its client account.
	NoRoom bool
}

// Rule names the reason for a refusal.
type Rule string

// Rules of refusal.
const (
	// RuleTooLate means that the job would be done too late to be of use.
	RuleTooLate Rule = "too-late"
	// RuleOverRate means that the job exceeds the rate of its client account, while
	// work within its rate is late.
	RuleOverRate Rule = "over-rate"
	// RuleTooSoon means that the job was refused a moment ago and came back too early.
	RuleTooSoon Rule = "too-soon"
	// RuleNoRoom means that the jobs of the client account take too much memory.
	RuleNoRoom Rule = "no-room"
)

// Refusal says why a job is not taken on.
type Refusal struct {
	Rule Rule
	// Wait is how long the job would wait for its first task, as far as is known.
	Wait time.Duration
	// RetryAfter is when it may come back.
	RetryAfter time.Duration
}

// WaitKind is what the tasks of a job wait for.
type WaitKind uint8

// Kinds of waits.
const (
	// WaitShared is a wait for resources or advice, which all jobs share.
	WaitShared WaitKind = iota + 1
	// WaitAccount is a wait for the limit of the job's client account.
	WaitAccount
)

// Gate decides on admissions. It is not safe for concurrent use.
type Gate struct {
	// queued has the admitted jobs without a placement.
	queued map[string]Job
	// shared has the backlog of each priority, and accounts that of each client account
	// at its limit.
	shared   map[int]*sharedBacklog
	accounts map[string]*backlog
	// refused has the time before which a refused job must not come back.
	refused map[string]time.Time
}

// NewGate returns a gate without a backlog.
func NewGate() *Gate {
	return &Gate{
		queued:   map[string]Job{},
		shared:   map[int]*sharedBacklog{},
		accounts: map[string]*backlog{},
		refused:  map[string]time.Time{},
	}
}

// Decide returns the refusal of a job, or false if it is to be taken on.
func (g *Gate) Decide(job Job, now time.Time) (Refusal, bool) {
	if until, known := g.refused[job.ID]; known && now.Before(until) {
		return Refusal{
			Rule:       RuleTooSoon,
			RetryAfter: MinRetryAfter,
		}, true
	}
	delete(g.refused, job.ID)
	if job.NoRoom {
		g.refused[job.ID] = now.Add(MinRetryAfter)
		return Refusal{
			Rule:       RuleNoRoom,
			RetryAfter: retryAfter(maxBaseDelay, job.ID),
		}, true
	}
	if job.Deferrable {
		return Refusal{}, false
	}
	wait := g.expectedWait(job, now)
	var rule Rule
	allowed := valueFactor*job.Objective - job.CriticalPath
	switch {
	case wait == 0:
		return Refusal{}, false
	case wait > allowed:
		rule = RuleTooLate
	case job.OverRate && wait > job.Objective-job.CriticalPath:
		rule, allowed = RuleOverRate, max(0, job.Objective-job.CriticalPath)
	default:
		return Refusal{}, false
	}
	refusal := Refusal{
		Rule:       rule,
		Wait:       wait,
		RetryAfter: retryAfter(wait-allowed, job.ID),
	}
	g.refused[job.ID] = now.Add(MinRetryAfter)
	return refusal, true
}

// Refuse records that the job was refused elsewhere, so that an earlier attempt to submit
// it, which is still on its way, is refused as well.
func (g *Gate) Refuse(id string, now time.Time) {
	g.refused[id] = now.Add(MinRetryAfter)
}

// expectedWait returns how long a job would wait for its first task: the longer of the
// waits behind all work that goes first and behind the work of its account. Of the work
// of its priority, other accounts get no more done first than their shares allow.
func (g *Gate) expectedWait(job Job, now time.Time) time.Duration {
	var wait time.Duration
	for priority, b := range g.shared {
		switch {
		case priority == job.Priority && !job.OverRate:
			wait += b.expectedWaitOf(job, now)
		case priority <= job.Priority:
			wait += b.expectedWait(now)
		}
	}
	if b := g.accounts[job.Account]; b != nil {
		wait = max(wait, b.expectedWait(now))
	}
	return wait
}

// Admitted records a job that was taken on and has no placement yet.
func (g *Gate) Admitted(job Job) {
	g.queued[job.ID] = job
}

// Placed records the first placement of a job.
func (g *Gate) Placed(id string, now time.Time) {
	job, known := g.queued[id]
	if !known {
		return
	}
	delete(g.queued, id)
	if b := g.shared[job.Priority]; b != nil {
		b.placedOf(job.Account, now)
	}
	if b := g.accounts[job.Account]; b != nil {
		b.placed(now)
	}
}

// Update records what the admitted jobs without a placement wait for. Work over its
// account's rate does not count: work within the rate goes first.
func (g *Gate) Update(waits map[string]WaitKind, now time.Time) {
	shared := map[int]map[string]*waitingAccount{}
	accounts := map[string]int{}
	for id, kind := range waits {
		job, known := g.queued[id]
		switch {
		case !known || job.OverRate:
		case kind == WaitShared:
			addWaiting(shared, job)
		case kind == WaitAccount:
			accounts[job.Account]++
		}
	}
	updateShared(g.shared, shared, now)
	updateBacklogs(g.accounts, accounts, now)
}

// Forget removes the jobs that are over and the refusals that no longer matter.
func (g *Gate) Forget(isOver func(id string) bool, now time.Time) {
	for id := range g.queued {
		if isOver(id) {
			delete(g.queued, id)
		}
	}
	for id, until := range g.refused {
		if !now.Before(until) {
			delete(g.refused, id)
		}
	}
}
