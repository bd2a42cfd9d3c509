// Package shard provides a map that is split into shards with a lock each, which
// reduces lock contention between concurrent readers.
package shard

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64

// Map is a sharded map that is safe for concurrent use. Create one with NewMap.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu    sync.RWMutex
	items map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].items = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardFor(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Get returns the value of the key and whether the key is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok := s.items[key]
	return value, ok
}

// Set stores the value under the key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[key] = value
}

// Delete removes the key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// Update calls update with the current value of the key, while it holds the
// lock of the shard, and stores the value that update returns. If keep is false
// it removes the key instead.
func (m *Map[K, V]) Update(key K, update func(value V, found bool) (next V, keep bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.items[key]
	next, keep := update(value, found)
	if keep {
		s.items[key] = next
		return
	}
	delete(s.items, key)
}

// Len returns the number of keys. It locks the shards one at a time, so the
// result isn't a consistent snapshot under concurrent updates.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		n += len(s.items)
		s.mu.RUnlock()
	}
	return n
}

// Range calls yield for every item until yield returns false, in no particular
// order. No lock is held during the call: each shard is copied first.
func (m *Map[K, V]) Range(yield func(key K, value V) bool) {
	for i := range m.shards {
		for key, value := range m.shards[i].snapshot() {
			if !yield(key, value) {
				return
			}
		}
	}
}

func (s *mapShard[K, V]) snapshot() map[K]V {
	s.mu.RLock()
	defer s.mu.RUnlock()
	items := make(map[K]V, len(s.items))
	for key, value := range s.items {
		items[key] = value
	}
	return items
}
