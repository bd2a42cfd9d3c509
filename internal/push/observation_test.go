package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// Only what has no other explanation may end runs. Each time that one more observation was
// taken for the end of a process, tasks ran twice.
func TestConsequenceOfObservation(t *testing.T) {
	for observed, want := range map[observation]consequence{
		observedSilence:          consequenceRetry,
		observedRefusal:          consequenceRetry,
		observedHeartbeat:        consequenceAsk,
		observedLeave:            consequenceRetire,
		observedOtherIncarnation: consequenceEnd,
		observedOtherTarget:      consequenceEnd,
		observedLeaseEnd:         consequenceEnd,
		observedNoRuns:           consequenceEnd,
	} {
		qt.Check(t, observed.consequence(), qt.Equals, want, qt.Commentf("%s", observed))
	}
}

// The error of an order must not tell more of the target's process than the answer proves.
func TestObservationOfError(t *testing.T) {
	for err, want := range map[error]observation{
		ErrNoAnswer:                     observedSilence,
		ErrNotSent:                      observedSilence,
		ErrRefused:                      observedSilence,
		ErrFenced:                       observedSilence,
		ErrDown:                         observedRefusal,
		ErrOtherIncarnation:             observedOtherIncarnation,
		&RestartedError{Incarnation: 2}: observedOtherIncarnation,
		ErrOtherTarget:                  observedOtherTarget,
	} {
		qt.Check(t, observationOf(err), qt.Equals, want, qt.Commentf("%s", err))
	}
}

// A caller that has no proof must not be able to end an incarnation, whatever it believes.
func TestIncarnationIsNotEndedWithoutProof(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	id := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	l := s.scheduler.currentLeader.Load()
	for _, observed := range []observation{
		observedSilence, observedRefusal, observedHeartbeat, observedLeave, observedNoRuns,
	} {
		s.c.Check(l.endIncarnations(observed, true, id) != nil, qt.IsTrue, qt.Commentf("%s", observed))
		s.c.Check(s.scheduler.ledger.RunCount(id), qt.Equals, 1, qt.Commentf("%s", observed))
	}
}
