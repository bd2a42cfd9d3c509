package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// evacuate evacuates a domain or withdraws that.
func (m *ledgerModel) evacuate(t *rapid.T) {
	domain := rapid.SampledFrom([]string{"east", "west"}).Draw(t, "domain")
	withdrawn := rapid.Bool().Draw(t, "withdrawn")
	m.apply(Command{Evacuate: &Evacuate{
		Domain:    domain,
		Withdrawn: withdrawn,
	}})
	m.evacuated[domain] = !withdrawn
}

// checkEvacuated compares the evacuated domains with the model.
func (m *ledgerModel) checkEvacuated(t *rapid.T) {
	for _, domain := range []string{"east", "west"} {
		if m.ledger.IsEvacuated(domain) != m.evacuated[domain] {
			t.Fatalf("%s: evacuated is %t in the model", domain, m.evacuated[domain])
		}
	}
}

func applyEvacuation(l *Ledger, now Millis, domain string, withdrawn bool) {
	l.Apply(Command{
		Time: now,
		Evacuate: &Evacuate{
			Domain:    domain,
			Withdrawn: withdrawn,
		},
	})
}

// Operators repeat a request whose response was lost. The evacuation must stay the one that it
// was, and a domain must not get work again because another one does.
func TestEvacuationsOfTwoDomains(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	applyEvacuation(l, 10, "east", false)
	applyEvacuation(l, 20, "west", false)
	applyEvacuation(l, 30, "east", false)
	want := []Evacuation{
		{
			Domain: "east",
			Since:  10,
		},
		{
			Domain: "west",
			Since:  20,
		},
	}
	all, changes := l.Evacuations()
	c.Check(all, qt.DeepEquals, want)
	c.Check(changes, qt.Equals, uint64(2))
	for range 2 {
		applyEvacuation(l, 40, "east", true)
	}
	all, changes = l.Evacuations()
	c.Check(all, qt.DeepEquals, want[1:])
	c.Check(changes, qt.Equals, uint64(3))
	c.Check(l.IsEvacuated("east"), qt.IsFalse)
	c.Check(l.IsEvacuated("west"), qt.IsTrue)
}

// A replica that starts from a snapshot has to know the evacuations that are in it, and how
// many changes there were.
func TestEvacuationIsInSnapshot(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	applyEvacuation(l, 10, "east", false)
	applyEvacuation(l, 20, "west", false)
	applyEvacuation(l, 30, "west", true)
	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	restored := NewLedger()
	c.Assert(restored.Restore(state), qt.IsNil)
	all, changes := restored.Evacuations()
	c.Check(all, qt.DeepEquals, []Evacuation{{
		Domain: "east",
		Since:  10,
	}})
	c.Check(changes, qt.Equals, uint64(3))
	c.Assert(restored.Restore(nil), qt.IsNil)
	c.Check(restored.IsEvacuated("east"), qt.IsFalse)
}

// lastReleaseCommand has the fields of a command in the last release.
type lastReleaseCommand struct {
	Time   Millis
	Submit *Submit
	Cancel *Cancel
	Place  *Place
	Events *Events
	Target *Announcement
	Gone   *EndIncarnations
	Evict  *Evict
	Copy   *Speculate
	Config *Config
	Prune  *Prune
	Clear  *ClearSuspicion
}

// asLastRelease returns the command as a replica of the last release decodes it.
func asLastRelease(c *qt.C, command Command) Command {
	data, err := command.Encode()
	c.Assert(err, qt.IsNil)
	var old lastReleaseCommand
	c.Assert(cbor.Unmarshal(data, &old), qt.IsNil)
	return Command{
		Time:   old.Time,
		Submit: old.Submit,
		Cancel: old.Cancel,
		Place:  old.Place,
		Events: old.Events,
		Target: old.Target,
		Gone:   old.Gone,
		Evict:  old.Evict,
		Copy:   old.Copy,
		Config: old.Config,
		Prune:  old.Prune,
		Clear:  old.Clear,
	}
}

// A replica of the last release ignores an evacuation. All that it knows must be the same as
// on one of this release, also after a placement in an evacuated domain that was proposed
// before and is committed after the evacuation.
func TestEvacuationIsIgnoredByLastRelease(t *testing.T) {
	c, now, old := qt.New(t), newTestLedger(), newTestLedger()
	in := newAnnouncement("w2", 1, 4000)
	in.Domain = "east"
	end := RunEnd{
		Target:  in.ID,
		Task:    TaskRef{Job: "a"},
		Run:     1,
		Outcome: OutcomeNeverStarted,
	}
	for _, command := range []Command{
		{Target: in},
		{Submit: &Submit{
			Address: testAddress,
			ID:      "a",
			Spec:    Spec{Steps: []Step{singleTaskStep()}},
		}},
		{
			Time:     500,
			Evacuate: &Evacuate{Domain: "east"},
		},
		{Place: &Place{Groups: [][]Placement{{{
			Task:   end.Task,
			Run:    1,
			Target: in.ID,
		}}}}},
		{Events: &Events{Ends: []RunEnd{end}}},
		{Evacuate: &Evacuate{
			Domain:    "east",
			Withdrawn: true,
		}},
	} {
		c.Check(old.Apply(asLastRelease(c, command)), qt.DeepEquals, now.Apply(command))
		c.Check(old.jobs, qt.CmpEquals(), now.jobs)
		c.Check(old.targets, qt.CmpEquals(), now.targets)
		c.Check(old.usageByClientAccount, qt.DeepEquals, now.usageByClientAccount)
		c.Check(old.now, qt.Equals, now.now)
	}
	c.Check(old.IsEvacuated("east"), qt.IsFalse)
}

// A replica of the last release must restore a snapshot with evacuations.
func TestSnapshotWithEvacuationInLastRelease(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	applyEvacuation(l, 10, "east", false)
	state, err := l.Snapshot()()
	c.Assert(err, qt.IsNil)
	var old struct {
		Now     Millis
		Config  *Config
		Jobs    []*Job
		Targets []snapshotTarget
	}
	c.Assert(cbor.Unmarshal(state, &old), qt.IsNil)
	c.Check(old.Targets, qt.HasLen, 2)
	c.Check(old.Now, qt.Equals, Millis(10))
}
