package push

import "context"

// semaphore bounds how many goroutines do something at once.
type semaphore chan struct{}

// newSemaphore returns a semaphore with the given number of slots.
func newSemaphore(slots int) semaphore {
	return make(semaphore, slots)
}

// acquire waits for a slot, and reports whether it got one before the context ended.
func (s semaphore) acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire takes a slot if one is free, and reports whether it did.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// release gives back a slot.
func (s semaphore) release() {
	<-s
}
