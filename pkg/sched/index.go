package sched

import "github.com/jasmineward/jasmineward/pkg/quota"

// vector is a room with the number of free slots beside it.
type vector struct {
	cpu, memory, accelerators, slots int64
}

func vectorOf(room quota.Room, slots int) vector {
	return vector{
		cpu:          int64(room.CPU),
		memory:       int64(room.Memory),
		accelerators: room.Accelerators,
		slots:        int64(slots),
	}
}

// closed is below every need, so that it is never found.
var closed = vector{
	cpu:          -1,
	memory:       -1,
	accelerators: -1,
	slots:        -1,
}

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

// index finds places by the room that is free there. Places are numbered
// from zero; neighbours are near each other in the fleet.
type index interface {
	// set tells what is free at the place.
	set(place int, free vector)
	// find returns the first place in [from, to) that covers the need, or -1.
	find(need vector, from, to int) int
}

func newIndex(kind Index, places int) index {
	switch kind {
	case IndexBuckets:
		return newBuckets(places)
	case IndexLinear:
		return newLinear(places)
	}
	return newMaxTree(places)
}

// maxTree is an index by a binary tree whose nodes hold the component-wise
// maximum below them. A search skips every subtree whose maximum does not
// cover the need. It is exact.
type maxTree struct {
	leaves int
	nodes  []vector
}

var _ index = (*maxTree)(nil)

func newMaxTree(places int) *maxTree {
	leaves := 1
	for leaves < places {
		leaves *= 2
	}
	t := &maxTree{
		leaves: leaves,
		nodes:  make([]vector, 2*leaves),
	}
	for i := range t.nodes {
		t.nodes[i] = closed
	}
	return t
}

func (t *maxTree) set(place int, free vector) {
	node := t.leaves + place
	t.nodes[node] = free
	for node > 1 {
		node /= 2
		top := t.nodes[2*node].max(t.nodes[2*node+1])
		if t.nodes[node] == top {
			return
		}
		t.nodes[node] = top
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
	if place := t.search(2*node, low, middle, need, from, to); place >= 0 {
		return place
	}
	return t.search(2*node+1, middle, high, need, from, to)
}

// linear is an index that looks at every place: the baseline.
type linear struct {
	free []vector
}

var _ index = (*linear)(nil)

func newLinear(places int) *linear {
	l := &linear{free: make([]vector, places)}
	for i := range l.free {
		l.free[i] = closed
	}
	return l
}

func (l *linear) set(place int, free vector) {
	l.free[place] = free
}

func (l *linear) find(need vector, from, to int) int {
	for place := max(from, 0); place < min(to, len(l.free)); place++ {
		if l.free[place].covers(need) {
			return place
		}
	}
	return -1
}
