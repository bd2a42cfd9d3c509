package graph

// Estimates of the memory that a job takes on a replica, in bytes.
const (
	// jobFootprint is for the job itself, which an ended job keeps until it is deleted.
	jobFootprint = 768
	// stepFootprint is for a step of the specification, and executionFootprint for its
	// progress in one occurrence, with what the leader keeps about a step that waits.
	stepFootprint      = 256
	executionFootprint = 768
	taskFootprint      = 96
	dependencyBytes    = 8
)

// Footprint returns an estimate of the bytes that a job with the specification takes in
// the memory of a replica until it ends.
func (s *Spec) Footprint() int64 {
	occurrences := int64(max(1, s.Occurrences))
	bytes := jobFootprint + int64(len(s.Payload))
	for i := range s.Steps {
		step := &s.Steps[i]
		text := len(step.Label) + len(step.Rack) + len(step.Image)
		bytes += stepFootprint + int64(text) + dependencyBytes*int64(len(step.DependsOn))
		bytes += occurrences * (executionFootprint + taskFootprint*int64(step.Count))
	}
	return bytes
}

// footprint returns an estimate of the bytes that the job takes now.
func (j *Job) footprint() int64 {
	if j.State.Final() {
		return jobFootprint
	}
	return j.Spec.Footprint()
}

// footprints sums up the footprints of jobs by client account.
type footprints struct {
	total    int64
	accounts map[string]int64
}

// add adds the bytes, which may be negative, to the account.
func (f *footprints) add(account string, bytes int64) {
	f.total += bytes
	f.accounts[account] += bytes
	if f.accounts[account] == 0 {
		delete(f.accounts, account)
	}
}

// Stored returns estimates of the bytes that all jobs take in the memory of a replica, and
// those of one client account.
func (l *Ledger) Stored(account string) (total, ofAccount int64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.stored.total, l.stored.accounts[account]
}
