package push

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// While a commit is slow, one proposal of placements is in flight at a time, and the advisor
// is still asked for the steps that wait. It was sent three proposals, and then nothing was
// asked until one of them was committed.
func TestSlowCommitBoundsPlacementsAndNotAdvice(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.fleet.runTime = time.Second
		f.cell.slow, f.cell.wait = 1, 3*time.Second
		for _, name := range []string{"w0", "w1", "w2", "w3"} {
			f.startTarget(name)
		}
		f.submit("a", tasks(1))
		f.eventually("first placement is proposed", func() bool { return f.proposals() == 1 })
		time.Sleep(time.Second)
		asked := f.metric("jasmineward_advice_answers_total")
		for _, id := range []graph.JobID{"b", "c", "d"} {
			f.submit(id, tasks(1))
			time.Sleep(100 * time.Millisecond)
		}
		f.c.Check(f.proposals(), qt.Equals, 1)
		f.c.Check(f.metric("jasmineward_advice_answers_total"), qt.Equals, asked+3)
		for _, id := range []graph.JobID{"a", "b", "c", "d"} {
			f.waitCompleted(id)
		}
	})
}

// proposals returns how many proposals of placements are in flight.
func (f *virtualFixture) proposals() int {
	l := f.cell.scheduler.currentLeader.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proposalsInFlight
}

// A proposal that the leader refuses at once says nothing about the time of commits, and must
// not stay counted as under way.
func TestRefusedProposalIsNoCommit(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		l := f.cell.scheduler.currentLeader.Load()
		f.cell.modelCell.mu.Lock()
		f.cell.leading = false
		f.cell.modelCell.mu.Unlock()
		_, fault := l.propose(context.Background(), graph.Command{Prune: &graph.Prune{}})
		f.c.Check(fault != nil, qt.IsTrue)
		l.mu.Lock()
		defer l.mu.Unlock()
		f.c.Check(l.flow.open, qt.HasLen, 0)
		f.c.Check(l.flow.average, qt.Equals, time.Duration(0))
	})
}
