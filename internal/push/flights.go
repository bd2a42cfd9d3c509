package push

import "sync"

// flights lets one goroutine at a time do a piece of work for a key, while others wait for it.
type flights[K comparable] struct {
	mu    sync.Mutex
	byKey map[K]chan struct{}
}

func newFlights[K comparable]() *flights[K] {
	return &flights[K]{byKey: map[K]chan struct{}{}}
}

// claim returns true if nobody works for the key. The caller then does, and must call
// release. Otherwise claim returns a channel that is closed when the work is done.
func (f *flights[K]) claim(key K) (done <-chan struct{}, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, found := f.byKey[key]; found {
		return current, false
	}
	f.byKey[key] = make(chan struct{})
	return nil, true
}

// release ends the work for the key.
func (f *flights[K]) release(key K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.byKey[key])
	delete(f.byKey, key)
}
