// Package shard gives containers whose state is split into shards, each
// under its own lock, so that many readers do not meet on one mutex.
package shard

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64

// Map is a map from K to V in shards. Make one with NewMap.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]part[K, V]
}

type part[K comparable, V any] struct {
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

func (m *Map[K, V]) part(key K) *part[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Get returns the value held for the key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.part(key)
	p.mu.RLock()
	defer p.mu.RUnlock()
	value, ok := p.items[key]
	return value, ok
}

// Set holds the value for the key.
func (m *Map[K, V]) Set(key K, value V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items[key] = value
}

// Delete forgets the key.
func (m *Map[K, V]) Delete(key K) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.items, key)
}

// Update replaces the value of the key by what change returns for the
// current one, under the lock of its shard. When keep is false the key is
// forgotten.
func (m *Map[K, V]) Update(key K, change func(value V, found bool) (next V, keep bool)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	value, found := p.items[key]
	next, keep := change(value, found)
	if keep {
		p.items[key] = next
		return
	}
	delete(p.items, key)
}

// Len returns the number of keys, counted shard by shard.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.RLock()
		n += len(p.items)
		p.mu.RUnlock()
	}
	return n
}

// Each calls visit for every item until it returns false. Items come in no
// stated order. The lock of a shard is not held during visit.
func (m *Map[K, V]) Each(visit func(key K, value V) bool) {
	for i := range m.shards {
		for key, value := range m.shards[i].copy() {
			if !visit(key, value) {
				return
			}
		}
	}
}

func (p *part[K, V]) copy() map[K]V {
	p.mu.RLock()
	defer p.mu.RUnlock()
	items := make(map[K]V, len(p.items))
	for key, value := range p.items {
		items[key] = value
	}
	return items
}
