package push

import (
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/admit"
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/rate"
)

const (
	// burstTime determines the burst of an account: it may send at once as many jobs as
	// its rate allows in this time.
	burstTime = 2 * time.Second
	// admissionHistory is how far back a new leader reads admissions to find what
	// exceeded its account's rate.
	admissionHistory = time.Minute
)

// admissions tracks the jobs that this leader admits: what exceeds the rate of its
// client account, and which have no placement yet. The ledger must not be read with its
// lock held, as decisions take the lock while they read the ledger.
type admissions struct {
	mu    sync.Mutex
	gate  *admit.Gate
	meter rate.Meter[string]
	// overRate is the set of live jobs that exceeded the rate of their account.
	overRate map[graph.JobID]bool
	// admittedAt has the admission times of the jobs that this leader admitted and
	// that have no placement yet.
	admittedAt map[graph.JobID]time.Time
	// proposed is the set of jobs whose submission is being committed.
	proposed map[graph.JobID]int
}

func newAdmissions() *admissions {
	return &admissions{
		gate:       admit.NewGate(),
		overRate:   map[graph.JobID]bool{},
		admittedAt: map[graph.JobID]time.Time{},
		proposed:   map[graph.JobID]int{},
	}
}

// restore replays the admissions of earlier leaders, so that this leader finds the same jobs
// over the rate.
func (a *admissions) restore(history []graph.Admission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, admission := range history {
		at := time.UnixMilli(int64(admission.At))
		if a.meter.Exceeds(admission.ClientAccount, rateLimit(admission.Weight), at) {
			a.overRate[admission.ID] = true
		}
	}
}

// rateLimit returns the rate limit of a client account with the weight.
func rateLimit(weight float64) rate.Limit {
	return rate.Limit{
		PerSecond: weight,
		Burst:     weight * burstTime.Seconds(),
	}
}

// decide returns the job as the gate sees it, and its refusal if it is refused. HasRoom
// tells whether there is room to store it.
func (a *admissions) decide(
	s *graph.Submit, terms graph.Terms, hasRoom bool, now time.Time,
) (admit.Job, admit.Refusal, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	job := admit.Job{
		ID:           string(s.ID),
		Account:      terms.ClientAccount,
		Priority:     terms.Priority,
		Weight:       terms.Weight,
		Objective:    time.Duration(terms.Objective) * time.Millisecond,
		CriticalPath: time.Duration(terms.CriticalPath) * time.Millisecond,
		OverRate:     a.meter.Exceeds(terms.ClientAccount, rateLimit(terms.Weight), now),
		Deferrable:   s.Spec.IsDeferrable(),
		NoRoom:       !hasRoom,
	}
	// A job whose submission is being committed may be admitted already, so that it must
	// not be refused.
	if a.proposed[s.ID] > 0 {
		return job, admit.Refusal{}, false
	}
	refusal, refused := a.gate.Decide(job, now)
	return job, refusal, refused
}

// refuse records that a submission was refused before it reached this leader, so that
// other attempts of it, which are on their way, are refused as well. It returns false if
// one is being committed.
func (a *admissions) refuse(id graph.JobID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.proposed[id] > 0 {
		return false
	}
	a.gate.Refuse(string(id), now)
	return true
}

// propose records that a submission is being committed, until the returned function is
// called.
func (a *admissions) propose(id graph.JobID) (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proposed[id]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.proposed[id]--
		if a.proposed[id] == 0 {
			delete(a.proposed, id)
		}
	}
}

// admitted records a job that was admitted.
func (a *admissions) admitted(id graph.JobID, job admit.Job, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admittedAt[id] = now
	if job.OverRate {
		a.overRate[id] = true
	}
	a.gate.Admitted(job)
}

// placed records the first placement of a job. It returns when this leader admitted the
// job, or false if it did not.
func (a *admissions) placed(id graph.JobID, now time.Time) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.admittedAt[id]
	delete(a.admittedAt, id)
	a.gate.Placed(string(id), now)
	return at, known
}

// recordWaits records what the steps wait for that a decision did not place.
func (a *admissions) recordWaits(reasons map[plan.StepKey]plan.WaitReason, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	waits := make(map[string]admit.WaitKind, len(a.admittedAt))
	for step, reason := range reasons {
		// While all targets are evacuated, work waits and nothing is refused.
		if _, queued := a.admittedAt[step.Job]; !queued || reason == plan.ReasonEvacuated {
			continue
		}
		waits[string(step.Job)] = admit.WaitShared
		if reason == plan.ReasonClientAccountLimit {
			waits[string(step.Job)] = admit.WaitAccount
		}
	}
	a.gate.Update(waits, now)
}

// isOverRate reports whether the job exceeded the rate of its client account.
func (a *admissions) isOverRate(id graph.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overRate[id]
}

// forget removes the jobs that are over. It calls isOver without its lock held, so that
// isOver may take locks under which this type is read.
func (a *admissions) forget(isOver func(graph.JobID) bool, now time.Time) {
	over := map[graph.JobID]bool{}
	for _, id := range a.jobs() {
		if isOver(id) {
			over[id] = true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range over {
		delete(a.admittedAt, id)
		delete(a.overRate, id)
	}
	a.gate.Forget(func(id string) bool { return over[graph.JobID(id)] }, now)
}

// jobs returns the jobs of which something is kept.
func (a *admissions) jobs() []graph.JobID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]graph.JobID, 0, len(a.admittedAt)+len(a.overRate))
	for id := range a.admittedAt {
		ids = append(ids, id)
	}
	for id := range a.overRate {
		if _, listed := a.admittedAt[id]; !listed {
			ids = append(ids, id)
		}
	}
	return ids
}
