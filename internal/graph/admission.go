package graph

import (
	"cmp"
	"slices"
)

// Terms are what the admission of a job depends on beside its specification.
type Terms struct {
	Queue    string
	Priority int
	// Objective is the time in which the job should be done, and CriticalPath the
	// estimated time of its longest chain of steps.
	Objective    Millis
	CriticalPath Millis
	// ClientAccount is empty for a job without a client account, which has no weight.
	ClientAccount string
	Weight        float64
}

// Admission is a job that was admitted at a time.
type Admission struct {
	ID            JobID
	ClientAccount string
	Weight        float64
	At            Millis
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps. The
// slice is scratch space with a zero for each step.
func (s *Spec) CriticalPath(ends []Millis) Millis {
	var longest Millis
	for i := range s.Steps {
		for _, dependency := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// IsDeferrable reports whether the job keeps its use if it starts later: it runs until it
// is cancelled, or at set times.
func (s *Spec) IsDeferrable() bool {
	return s.StartAt > 0 || s.Occurrences > 1 ||
		slices.ContainsFunc(s.Steps, func(step Step) bool { return step.LongRunning })
}

// TermsOf returns the terms of a submission that CheckSubmit accepts.
func (l *Ledger) TermsOf(s *Submit) (Terms, Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, account, refusal := l.resolve(s.Address)
	if refusal != "" {
		return Terms{}, refusal
	}
	path := s.Spec.CriticalPath(make([]Millis, len(s.Spec.Steps)))
	return Terms{
		Queue:         queue.Name,
		Priority:      queue.Priority,
		Objective:     Millis(queue.Stretch*float64(path)) + queue.Latency,
		CriticalPath:  path,
		ClientAccount: account,
		Weight:        l.weightOf(account),
	}, ""
}

// weightOf returns the weight of the client account, or zero if it has none.
func (l *Ledger) weightOf(account string) float64 {
	if known := l.config.clientAccounts[account]; known != nil {
		return known.Weight
	}
	return 0
}

// AdmissionsSince returns the jobs that were admitted at the given time or later, in the
// order of their admission.
func (l *Ledger) AdmissionsSince(since Millis) []Admission {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil {
		return nil
	}
	var admissions []Admission
	for id, job := range l.jobs {
		if job.Admitted < since {
			continue
		}
		admissions = append(admissions, Admission{
			ID:            id,
			ClientAccount: job.ClientAccount,
			Weight:        l.weightOf(job.ClientAccount),
			At:            job.Admitted,
		})
	}
	slices.SortFunc(admissions, func(a, b Admission) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
	return admissions
}
