package push

import (
	"maps"
	"slices"
	"sync"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// taskMap keeps a value for some tasks. Its lock is that of its owner.
type taskMap[V any] struct {
	mu     sync.Mutex
	byTask map[graph.TaskRef]V
}

func newTaskMap[V any]() taskMap[V] {
	return taskMap[V]{byTask: map[graph.TaskRef]V{}}
}

// forget deletes the values of jobs that have ended. The function may take locks that are
// held while values are read, as it is not called with the lock held.
func (m *taskMap[V]) forget(ended func(graph.JobID) bool) {
	m.mu.Lock()
	tasks := slices.Collect(maps.Keys(m.byTask))
	m.mu.Unlock()
	tasks = slices.DeleteFunc(tasks, func(task graph.TaskRef) bool { return !ended(task.Job) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, task := range tasks {
		delete(m.byTask, task)
	}
}
