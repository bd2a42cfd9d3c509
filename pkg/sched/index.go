package sched

import "github.com/jasmineward/jasmineward/pkg/quota"

// vector is an amount of resources with a number of free slots.
type vector struct {
	cpu, memory, accelerators, slots int64
}

func vectorOf(resources quota.Resources, slots int) vector {
	return vector{
		cpu:          int64(resources.CPU),
		memory:       int64(resources.Memory),
		accelerators: resources.Accelerators,
		slots:        int64(slots),
	}
}

// unavailable is less than any need, so that its position is never found.
var unavailable = vector{
	cpu:          -1,
	memory:       -1,
	accelerators: -1,
	slots:        -1,
}

// covers reports whether v is at least the need in every component.
func (v vector) covers(need vector) bool {
	return v.cpu >= need.cpu && v.memory >= need.memory &&
		v.accelerators >= need.accelerators && v.slots >= need.slots
}

func (v vector) max(o vector) vector {
	return vector{
		cpu:          max(v.cpu, o.cpu),
		memory:       max(v.memory, o.memory),
		accelerators: max(v.accelerators, o.accelerators),
		slots:        max(v.slots, o.slots),
	}
}

// index finds positions by their free resources. Positions are numbered from
// zero; adjacent positions are close to each other in the fleet.
type index interface {
	// set records what is free at the position.
	set(position int, free vector)
	// find returns a position in [from, to) that covers the need, or -1. The
	// tree and the linear index return the first one.
	find(need vector, from, to int) int
}

func newIndex(kind IndexKind, size int) index {
	switch kind {
	case IndexBuckets:
		return newBuckets(size)
	case IndexLinear:
		return newLinear(size)
	}
	return newMaxTree(size)
}

// maxTree is an exact index: a binary tree whose nodes hold the
// component-wise maximum of their subtrees. A search skips every subtree
// whose maximum does not cover the need.
type maxTree struct {
	leaves int
	nodes  []vector
}

var _ index = (*maxTree)(nil)

func newMaxTree(size int) *maxTree {
	leaves := 1
	for leaves < size {
		leaves *= 2
	}
	t := &maxTree{
		leaves: leaves,
		nodes:  make([]vector, 2*leaves),
	}
	for i := range t.nodes {
		t.nodes[i] = unavailable
	}
	return t
}

func (t *maxTree) set(position int, free vector) {
	node := t.leaves + position
	t.nodes[node] = free
	for node > 1 {
		node /= 2
		maximum := t.nodes[2*node].max(t.nodes[2*node+1])
		if t.nodes[node] == maximum {
			return
		}
		t.nodes[node] = maximum
	}
}

func (t *maxTree) find(need vector, from, to int) int {
	return t.search(1, 0, t.leaves, need, from, to)
}

func (t *maxTree) search(node, low, high int, need vector, from, to int) int {
	if high <= from || low >= to || !t.nodes[node].covers(need) {
		return -1
	}
	if high-low == 1 {
		return low
	}
	middle := (low + high) / 2
	if position := t.search(2*node, low, middle, need, from, to); position >= 0 {
		return position
	}
	return t.search(2*node+1, middle, high, need, from, to)
}

// linearIndex searches all positions in order; it is the reference in
// benchmarks.
type linearIndex struct {
	free []vector
}

var _ index = (*linearIndex)(nil)

func newLinear(size int) *linearIndex {
	l := &linearIndex{free: make([]vector, size)}
	for i := range l.free {
		l.free[i] = unavailable
	}
	return l
}

func (l *linearIndex) set(position int, free vector) {
	l.free[position] = free
}

func (l *linearIndex) find(need vector, from, to int) int {
	for position := max(from, 0); position < min(to, len(l.free)); position++ {
		if l.free[position].covers(need) {
			return position
		}
	}
	return -1
}
