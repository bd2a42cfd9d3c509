package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

// Placements whose commit took longer than their tickets were valid were sent all the same
// and refused, and each run was ended by a commit of its own.
func TestStartIsWithheldWhenTicketExpiresDuringCommit(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.cell.slow, f.cell.wait = 1, 2200*time.Millisecond
		f.startTarget("w0")
		f.submit("a", tasks(3))
		f.waitCompleted("a")
		f.c.Check(f.withheld(withheldCommit), qt.Equals, 3)
		f.assertStarts(3, 2)
	})
}

// A gang of which a ticket has expired must not be started in part.
func TestGangIsWithheldAsWhole(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.cell.slow, f.cell.wait = 1, 2200*time.Millisecond
		f.startTarget("w0")
		gang := tasks(4)
		gang.Gang = true
		f.submit("a", gang)
		f.waitCompleted("a")
		f.c.Check(f.withheld(withheldCommit), qt.Equals, 4)
		f.assertStarts(4, 2)
	})
}

// The start of a placement whose commit was uncertain was sent without a ticket, which its
// target refused.
func TestUncertainPlacementIsNotStartedWithoutTicket(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.fleet.adviceValid = 800 * time.Millisecond
		f.cell.uncertain = 1
		f.startTarget("w0")
		f.submit("a", tasks(1))
		f.waitCompleted("a")
		f.c.Check(f.withheld(withheldUncertain), qt.Equals, 1)
		f.assertStarts(1, 2)
	})
}

// A placement whose commit was uncertain is started with its ticket while that is valid.
func TestUncertainPlacementIsStartedWithValidTicket(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.cell.uncertain = 1
		f.startTarget("w0")
		f.submit("a", tasks(1))
		f.waitCompleted("a")
		f.assertStarts(1, 1)
	})
}

// A new leader sent the start of a run that its predecessor had placed without a ticket, and
// the target refused it. It must not start the run then, and stop it, as its predecessor may
// have sent the start. The tickets that instances have kept are no longer valid.
func TestInheritedRunIsNotStartedWithoutTicket(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		lost := make(chan struct{})
		f.cell.uncertain, f.cell.lost = 1, func() { close(lost) }
		f.startTarget("w0")
		f.submit("a", tasks(1))
		<-lost
		f.cell.changeLeader(3 * time.Second)
		f.waitCompleted("a")
		f.c.Check(f.withheld(withheldInherited), qt.Equals, 1)
		f.assertStarts(1, 2)
	})
}

// A start that waits for its target, which does not answer, is not sent once its ticket has
// expired.
func TestStartIsWithheldWhenTicketExpiresAtSilentTarget(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.startTarget("w0")
		f.submit("a", tasks(1))
		f.waitCompleted("a")
		l := f.cell.scheduler.currentLeader.Load()
		d := l.allDrivers()[0]
		key := keyOf(graph.TaskRef{Job: "b"}, 1)
		expired := time.Now().Add(startTravelTime / 2)
		f.c.Check(d.withholdsExpired(key, plan.Ticket{ExpiresAt: expired}), qt.IsTrue)
		f.c.Check(d.withholdsExpired(key, plan.Ticket{ExpiresAt: expired.Add(startTravelTime)}), qt.IsFalse)
		f.c.Check(f.withheld(withheldTarget), qt.Equals, 1)
	})
}
