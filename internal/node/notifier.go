package node

import (
	"container/heap"
	"sync"
	"time"
)

// notifier is a reusable broadcast: notify wakes all current waiters.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
	// waiters counts the calls that use a notifier of leader.jobNotifiers,
	// which is removed from the map when the count reaches zero.
	waiters int
}

func newNotifier() *notifier {
	return &notifier{ch: make(chan struct{})}
}

// notified returns a channel that is closed by the next call to notify.
func (n *notifier) notified() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// deadlineQueue is a priority queue of values ordered by deadline.
type deadlineQueue[V any] struct {
	entries deadlineHeap[V]
}

type deadlineEntry[V any] struct {
	deadline time.Time
	value    V
}

type deadlineHeap[V any] []deadlineEntry[V]

// Len implements heap.Interface.
func (h deadlineHeap[V]) Len() int { return len(h) }

// Less implements heap.Interface. The earliest deadline comes first.
func (h deadlineHeap[V]) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

// Swap implements heap.Interface.
func (h deadlineHeap[V]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap[V]) Push(x any) {
	if item, ok := x.(deadlineEntry[V]); ok {
		*h = append(*h, item)
	}
}

// Pop implements heap.Interface.
func (h *deadlineHeap[V]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (q *deadlineQueue[V]) add(value V, deadline time.Time) {
	heap.Push(&q.entries, deadlineEntry[V]{
		deadline: deadline,
		value:    value,
	})
}

// popDue removes and returns the values whose deadline is before now.
func (q *deadlineQueue[V]) popDue(now time.Time) []V {
	var values []V
	for len(q.entries) > 0 && q.entries[0].deadline.Before(now) {
		if item, ok := heap.Pop(&q.entries).(deadlineEntry[V]); ok {
			values = append(values, item.value)
		}
	}
	return values
}
