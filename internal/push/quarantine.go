package push

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// minQuarantine is how long a target gets no new work after a task has stalled on it.
	// The time doubles, up to maxQuarantine, if a task stalls there again within
	// quarantineMemory after the last quarantine.
	minQuarantine    = 2 * time.Second
	maxQuarantine    = 8 * time.Second
	quarantineMemory = 10 * time.Second
	// quarantineDivisor bounds the targets in quarantine to this part of all, as tasks may
	// stall for other reasons than their targets.
	quarantineDivisor = 8
)

// quarantine keeps new work away from targets on which tasks have stalled. Each task that is
// moved away frees its room there, so that in a shortage such a target would get the next ones.
// The lock may be taken while the ledger is read.
type quarantine struct {
	mu     sync.Mutex
	states map[graph.TargetID]quarantineState
}

// quarantineState is the end and the length of a target's latest quarantine.
type quarantineState struct {
	until  time.Time
	length time.Duration
}

func newQuarantine() *quarantine {
	return &quarantine{states: map[graph.TargetID]quarantineState{}}
}

// add puts the target into quarantine, given the number of all targets. It returns for how
// long, or zero if it is there already or too many are.
func (q *quarantine) add(id graph.TargetID, targets int, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	active := 0
	for other, state := range q.states {
		switch {
		case now.Before(state.until):
			active++
		case now.Sub(state.until) > quarantineMemory:
			delete(q.states, other)
		}
	}
	state := q.states[id]
	if now.Before(state.until) || active >= targets/quarantineDivisor {
		return 0
	}
	state.length = min(max(2*state.length, minQuarantine), maxQuarantine)
	state.until = now.Add(state.length)
	q.states[id] = state
	return state.length
}

// has reports whether the target is in quarantine.
func (q *quarantine) has(id graph.TargetID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	state, known := q.states[id]
	return known && now.Before(state.until)
}

// quarantineTarget keeps new work away from a target on which a task has stalled.
func (l *leader) quarantineTarget(id graph.TargetID, now time.Time) {
	targets, _ := l.scheduler.ledger.TargetCounts()
	length := l.quarantine.add(id, targets, now)
	if length == 0 {
		return
	}
	l.scheduler.metrics.quarantines.Inc()
	l.log.WithFields(logrus.Fields{
		"target": id.ID,
		"for":    length.Milliseconds(),
	}).Warn("target: in quarantine, a task stood still")
}
