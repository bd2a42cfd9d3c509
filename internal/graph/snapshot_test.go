package graph

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The decoder takes lists of up to 131,072 entries unless told otherwise. With more
// jobs than that in the ledger, which callers of 730 jobs a second bring about
// within the time for which ended jobs are kept, every replica saved a snapshot that
// it could not restore, and ended at each start.
func TestSnapshotOfManyJobsIsRestored(t *testing.T) {
	c := qt.New(t)
	const jobs = 131_073
	l := NewLedger()
	l.Apply(Command{Config: testConfig(1, 0)})
	spec := Spec{Steps: []Step{{Count: 1}}}
	for i := range jobs {
		l.Apply(Command{Submit: &Submit{
			Address: testAddress,
			ID:      JobID(fmt.Sprint(i)),
			Spec:    spec,
		}})
	}
	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	restored := NewLedger()
	c.Assert(restored.Restore(state), qt.IsNil)
	c.Assert(restored.jobs, qt.HasLen, jobs)
}
