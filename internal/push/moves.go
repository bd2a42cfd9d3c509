package push

import "github.com/jasmineward/jasmineward/internal/graph"

// maxPatienceDoublings bounds how often a task's patience is doubled.
const maxPatienceDoublings = 16

// moves counts how often each task has been moved because it seemed to stand still. That
// it does is presumed from other tasks or an estimate. A task that needs longer than these
// seems to stand still on each target, and would never end if it were moved each time.
type moves struct {
	taskMap[taskMoves]
}

// taskMoves has the count of a task's moves, and the last run that was moved.
type taskMoves struct {
	count int
	last  uint32
}

func newMoves() *moves {
	return &moves{taskMap: newTaskMap[taskMoves]()}
}

// record counts a move of the task. A run counts once, also if its move has to be
// committed again.
func (m *moves) record(task graph.TaskRef, run uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.byTask[task]
	if current.last == run {
		return
	}
	m.byTask[task] = taskMoves{
		count: current.count + 1,
		last:  run,
	}
}

// patience returns the factor by which the time is multiplied after which the task counts
// as stalled. It doubles with each move.
func (m *moves) patience(task graph.TaskRef) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 << min(m.byTask[task].count, maxPatienceDoublings)
}
