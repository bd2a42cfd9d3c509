package graph

const (
	// MaxTasks is the maximum number of tasks, over all steps and occurrences,
	// of a job that may be submitted.
	MaxTasks = 100_000
	// maxAppliedTasks is the number of tasks above which the ledger refuses a
	// job. It is above MaxTasks, so that a job that an instance has accepted is
	// in the ledger of every replica. The tasks of a job of this size take 72 MB.
	maxAppliedTasks = 1_000_000
)

// HasAtMost reports whether the job has no more than limit tasks over all steps
// and occurrences. Occurrences and steps without tasks count as one task.
func (s *Spec) HasAtMost(limit int) bool {
	left := limit / max(1, s.Occurrences)
	if left == 0 {
		return false
	}
	for i := range s.Steps {
		count := max(1, s.Steps[i].Count)
		if count > left {
			return false
		}
		left -= count
	}
	return true
}

// canApply reports whether the ledger can hold the job: no step has a negative
// number of tasks or depends on a later one, and the tasks fit in memory.
func (s *Spec) canApply() bool {
	for i := range s.Steps {
		if s.Steps[i].Count < 0 {
			return false
		}
		for _, d := range s.Steps[i].DependsOn {
			if d < 0 || d >= i {
				return false
			}
		}
	}
	return s.HasAtMost(maxAppliedTasks)
}
