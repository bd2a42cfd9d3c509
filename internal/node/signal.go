package node

import (
	"container/heap"
	"sync"
	"time"
)

// signal wakes everyone who waits for it, again and again.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
	// waiting counts who holds the signal, for those kept in a map.
	waiting int
}

func newSignal() *signal {
	return &signal{ch: make(chan struct{})}
}

// wait returns a channel that is closed at the next raise.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

// timeline returns values in the order of their times.
type timeline[V any] struct {
	items timeHeap[V]
}

type timed[V any] struct {
	at    time.Time
	value V
}

type timeHeap[V any] []timed[V]

// Len returns the number of values.
func (h timeHeap[V]) Len() int { return len(h) }

// Less orders values by time.
func (h timeHeap[V]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap swaps two values.
func (h timeHeap[V]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a value.
func (h *timeHeap[V]) Push(x any) {
	if item, ok := x.(timed[V]); ok {
		*h = append(*h, item)
	}
}

// Pop removes the last value.
func (h *timeHeap[V]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (t *timeline[V]) add(value V, at time.Time) {
	heap.Push(&t.items, timed[V]{
		at:    at,
		value: value,
	})
}

// due removes and returns the values whose time has come.
func (t *timeline[V]) due(now time.Time) []V {
	var values []V
	for len(t.items) > 0 && t.items[0].at.Before(now) {
		if item, ok := heap.Pop(&t.items).(timed[V]); ok {
			values = append(values, item.value)
		}
	}
	return values
}
