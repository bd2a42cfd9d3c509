package push

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// One client account that stores as much as it can must leave room to the next, and that
// one to a third.
func TestJobRoomIsLeftToOtherAccounts(t *testing.T) {
	c := qt.New(t)
	room := newJobRoom(graph.NewLedger(), 1000)
	fill := func(account string) int {
		count := 0
		for ; ; count++ {
			if _, ok := room.reserve(account, 10); !ok {
				return count
			}
		}
	}
	c.Check(fill("a"), qt.Equals, 50)
	c.Check(fill("b"), qt.Equals, 25)
	c.Check(fill("c"), qt.Equals, 12)
	c.Check(fill("a"), qt.Equals, 0)
}

// The largest job that is accepted at all must fit while there is no other.
func TestJobRoomHoldsTheLargestJob(t *testing.T) {
	c := qt.New(t)
	room := newJobRoom(graph.NewLedger(), 1000)
	c.Check(room.canHold(501), qt.IsFalse)
	c.Assert(room.canHold(500), qt.IsTrue)
	release, ok := room.reserve("a", 500)
	c.Assert(ok, qt.IsTrue)
	_, ok = room.reserve("b", 300)
	c.Check(ok, qt.IsFalse)
	release()
	release()
	_, ok = room.reserve("b", 500)
	c.Check(ok, qt.IsTrue)
}

// Room that is not given back when jobs end, or is after a restart, would shut clients out.
func TestJobRoomFollowsTheLedger(t *testing.T) {
	c := qt.New(t)
	ledger := graph.NewLedger()
	ledger.Apply(graph.Command{Config: &graph.Config{
		Version: 1,
		Queues: []graph.Queue{{
			Name:    "q",
			Host:    "h",
			Prefix:  "/",
			Service: "s",
			Open:    true,
		}},
		Services: []graph.Service{{Name: "s"}},
	}})
	spec := graph.Spec{Steps: []graph.Step{{Count: 100}}}
	for i := range 10 {
		ledger.Apply(graph.Command{Submit: &graph.Submit{
			Address: graph.Address{
				Host: "h",
				Path: "/",
			},
			ID:   graph.JobID(fmt.Sprint(i)),
			Spec: spec,
		}})
	}
	total, ofAccount := ledger.Stored("")
	c.Check(total, qt.Equals, 10*spec.Footprint())
	c.Check(ofAccount, qt.Equals, total)
	ledger.Apply(graph.Command{Cancel: &graph.Cancel{
		Address: graph.Address{
			Host: "h",
			Path: "/",
		},
		ID: "3",
	}})
	ended, _ := ledger.Stored("")
	c.Check(ended < total, qt.IsTrue)
	state, err := ledger.Snapshot()()
	c.Assert(err, qt.IsNil)
	restored := graph.NewLedger()
	c.Assert(restored.Restore(state), qt.IsNil)
	again, _ := restored.Stored("")
	c.Check(again, qt.Equals, ended)
	ledger.Apply(graph.Command{
		Time:  1000,
		Prune: &graph.Prune{Before: 1000},
	})
	pruned, _ := ledger.Stored("")
	c.Check(pruned, qt.Equals, 9*spec.Footprint())
}

// Submissions that wait for a quorum pile up in the memory of a leader that has lost it.
func TestCallRoomIsBounded(t *testing.T) {
	c := qt.New(t)
	room := callRoom{limit: 100}
	c.Check(room.acquire(150), qt.IsTrue)
	c.Check(room.acquire(1), qt.IsFalse)
	room.release(150)
	c.Check(room.acquire(60), qt.IsTrue)
	c.Check(room.acquire(60), qt.IsFalse)
	c.Check(room.acquire(40), qt.IsTrue)
}
