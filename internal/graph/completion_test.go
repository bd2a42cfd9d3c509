package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// completionLedger returns a ledger with a job of the step and one that depends on it, and
// without any target.
func completionLedger(c *qt.C, step Step, limit quota.Resources) *Ledger {
	l := NewLedger()
	l.Apply(Command{Config: &Config{
		Version: 1,
		Queues: []Queue{{
			Name:     "q",
			Host:     "h",
			Prefix:   "/q/",
			Service:  "s",
			Timeout:  1000,
			Attempts: 3,
		}},
		Services: []Service{{Name: "s"}},
		ClientAccounts: []ClientAccount{{
			Name:  "t",
			Keys:  []string{"k"},
			Limit: limit,
		}},
	}})
	result := l.Apply(Command{Submit: &Submit{
		Address: Address{
			Host: "h",
			Path: "/q/a",
			Key:  "k",
		},
		ID: "a",
		Spec: Spec{Steps: []Step{step, {
			Count:     1,
			Resources: quota.Resources{CPU: 10},
			DependsOn: []int{0},
		}}},
	}})
	c.Assert(result.Refusal, qt.Equals, Refusal(""))
	return l
}

// complete applies the commands of a completion, as a leader proposes them.
func (l *Ledger) complete(c *qt.C, completion Completion) {
	for i := range completion.Placeholders {
		l.Apply(Command{Target: &completion.Placeholders[i]})
	}
	result := l.Apply(Command{Place: &Place{Groups: [][]Placement{completion.Placements}}})
	c.Assert(result.Groups, qt.DeepEquals, []Refusal{""})
	l.Apply(Command{Events: &Events{Ends: completion.Ends()}})
	l.Apply(Command{Gone: &EndIncarnations{Targets: l.Placeholders()}})
}

// Tasks that are done by runs that were put back must not wait for room, whatever they ask for:
// the ledger has no target at all here. A gang is done as a whole.
func TestCompletionNeedsNoTarget(t *testing.T) {
	for name, step := range map[string]Step{
		"single": {Count: 1},
		"gang": {
			Count: 3,
			Gang:  true,
		},
		"label": {
			Count: 1,
			Label: "b",
		},
		"spread": {
			Count:        2,
			Gang:         true,
			MaxPerTarget: 1,
		},
		"best effort": {
			Count:      1,
			BestEffort: true,
		},
		"speculative": {
			Count:       1,
			Speculative: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			step.Resources = quota.Resources{
				CPU:    1000,
				Memory: 10,
			}
			l := completionLedger(c, step, quota.Resources{})
			completion, ok := l.CompletionOf(TaskRef{Job: "a"}, 7)
			c.Assert(ok, qt.IsTrue)
			l.complete(c, completion)
			state, _, _ := l.RunOf(TaskRef{Job: "a"})
			c.Check(state, qt.Equals, TaskDone)
			_, next := l.CompletionOf(TaskRef{
				Job:  "a",
				Step: 1,
			}, 7)
			c.Check(next, qt.IsTrue, qt.Commentf("the next step has its turn"))
			c.Check(l.Targets(), qt.HasLen, 0)
			c.Check(l.usageByClientAccount["t"], qt.Equals, quota.Resources{})
		})
	}
}

// What the ledger would refuse must not be proposed: a step whose turn has not come, a task that
// is placed, over or unknown, and a gang beyond the limit of its client account.
func TestCompletionIsRefusedBeforeItIsProposed(t *testing.T) {
	c := qt.New(t)
	step := Step{
		Count: 3,
		Gang:  true,
		Resources: quota.Resources{
			CPU:    1000,
			Memory: 10,
		},
	}
	l := completionLedger(c, step, quota.Resources{CPU: 2000})
	_, ok := l.CompletionOf(TaskRef{Job: "a"}, 1)
	c.Check(ok, qt.IsFalse, qt.Commentf("over the limit"))
	l = completionLedger(c, step, quota.Resources{})
	for _, ref := range []TaskRef{
		{
			Job:  "a",
			Step: 1,
		},
		{
			Job:   "a",
			Index: 3,
		},
		{Job: "b"},
	} {
		_, ok = l.CompletionOf(ref, 1)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", ref.Name()))
	}
	completion, ok := l.CompletionOf(TaskRef{Job: "a"}, 1)
	c.Assert(ok, qt.IsTrue)
	for i := range completion.Placeholders {
		l.Apply(Command{Target: &completion.Placeholders[i]})
	}
	l.Apply(Command{Place: &Place{Groups: [][]Placement{completion.Placements}}})
	_, ok = l.CompletionOf(TaskRef{Job: "a"}, 1)
	c.Check(ok, qt.IsFalse, qt.Commentf("placed"))
}
