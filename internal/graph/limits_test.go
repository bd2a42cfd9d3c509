package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A job that the ledger can't hold ended every replica when it was applied, and
// again at each start when the log was replayed: one with more tasks than there
// is memory for, and one with a negative count or a dependency on a step that
// does not exist, which no instance sends but a log may hold.
func TestLedgerRefusesJobThatItCannotHold(t *testing.T) {
	wide := Step{Count: 10_000}
	cases := map[string]Spec{
		"1.5 million tasks": {
			Steps:       []Step{wide},
			Occurrences: 150,
		},
		"1.1 million tasks in many steps": {
			Steps:       []Step{wide, wide, wide, wide, wide, wide, wide, wide, wide, wide, wide},
			Occurrences: 10,
		},
		"no steps, a billion times": {
			Occurrences: 1 << 30,
		},
		"negative count": {
			Steps: []Step{{Count: -1}},
		},
		"unknown dependency": {
			Steps: []Step{{
				Count:     1,
				DependsOn: []int{7},
			}},
		},
	}
	for name, spec := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := NewLedger()
			l.Apply(Command{Config: testConfig(1, 0)})
			command := Command{Submit: &Submit{
				Address: testAddress,
				ID:      "a",
				Spec:    spec,
			}}
			data, err := command.Encode()
			c.Assert(err, qt.IsNil)
			decoded, err := DecodeCommand(data)
			c.Assert(err, qt.IsNil)
			c.Assert(l.Apply(decoded).Refusal, qt.Equals, RefusedBadSpec)
			c.Assert(l.jobs, qt.HasLen, 0)
		})
	}
}

// A job of the largest size that may be submitted is held by the ledger, and
// comes back from a snapshot.
func TestLargestJobIsHeld(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	l.Apply(Command{Config: testConfig(1, 0)})
	spec := Spec{
		Steps:       []Step{{Count: 10_000}},
		Occurrences: MaxTasks / 10_000,
	}
	c.Assert(spec.HasAtMost(MaxTasks), qt.IsTrue)
	c.Assert(l.Apply(Command{Submit: &Submit{
		Address: testAddress,
		ID:      "a",
		Spec:    spec,
	}}).Refusal, qt.Equals, Refusal(""))
	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	restored := NewLedger()
	c.Assert(restored.Restore(state), qt.IsNil)
	c.Assert(restored.jobs["a"].Waiting, qt.Equals, MaxTasks)
}
