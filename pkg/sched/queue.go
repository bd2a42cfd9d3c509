package sched

import (
	"container/heap"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// item is one waiting task, or a whole waiting gang.
type item struct {
	job   *jobRecord
	task  int
	since time.Time
	// gone items are passed over; removing them from the middle of a queue
	// would cost more.
	gone bool
}

// shape groups waiting work of nearly the same size: when the oldest of a
// shape does not fit, the others of the shape are not tried.
type shape struct {
	kind     Kind
	urgent   bool
	cpu      int
	memory   int
	accelers int64
}

func shapeOf(j Job) shape {
	return shape{
		kind:     j.Kind,
		urgent:   j.Urgent,
		cpu:      classOf(int64(j.Room.CPU)),
		memory:   classOf(int64(j.Room.Memory)),
		accelers: j.Room.Accelerators,
	}
}

// shapeQueue is the waiting work of one team and shape, oldest first.
type shapeQueue struct {
	shape shape
	items []*item
	head  int
	// blocked is the version of the fleet in which the oldest item was last
	// tried in vain, and noRoom whether that was for want of room alone.
	blocked uint64
	noRoom  bool
}

func (q *shapeQueue) push(it *item) {
	q.items = append(q.items, it)
}

// oldest returns the first item that still waits, or nil.
func (q *shapeQueue) oldest() *item {
	for q.head < len(q.items) {
		if it := q.items[q.head]; !it.gone {
			return it
		}
		q.items[q.head] = nil
		q.head++
	}
	q.items = q.items[:0]
	q.head = 0
	return nil
}

// compact gives back the memory of what has gone from the front.
func (q *shapeQueue) compact() {
	if q.head < 1024 || q.head < len(q.items)/2 {
		return
	}
	q.items = append([]*item(nil), q.items[q.head:]...)
	q.head = 0
}

// teamRecord is a team with its waiting work and its usage.
type teamRecord struct {
	Team
	shapes []*shapeQueue
	index  map[shape]*shapeQueue
	// waiting counts items that are not gone.
	waiting int
	urgent  int
	used    quota.Room
	share   window
	starts  rate
}

func newTeamRecord(t Team) *teamRecord {
	return &teamRecord{
		Team:  t,
		index: map[shape]*shapeQueue{},
	}
}

func (t *teamRecord) push(it *item) {
	s := shapeOf(it.job.Job)
	q := t.index[s]
	if q == nil {
		q = &shapeQueue{shape: s}
		t.index[s] = q
		t.shapes = append(t.shapes, q)
	}
	q.push(it)
	t.waiting++
	if it.job.Urgent {
		t.urgent++
	}
}

func (t *teamRecord) drop(it *item) {
	if it.gone {
		return
	}
	it.gone = true
	t.waiting--
	if it.job.Urgent {
		t.urgent--
	}
	q := t.index[shapeOf(it.job.Job)]
	if q == nil {
		return
	}
	q.blocked = 0
	if q.oldest() == nil {
		t.forget(q)
		return
	}
	q.compact()
}

// forget takes an empty queue off the list, so that no round looks at it.
func (t *teamRecord) forget(q *shapeQueue) {
	delete(t.index, q.shape)
	for i, other := range t.shapes {
		if other == q {
			last := len(t.shapes) - 1
			t.shapes[i] = t.shapes[last]
			t.shapes[last] = nil
			t.shapes = t.shapes[:last]
			return
		}
	}
}

// fits tells whether the team may run so much more.
func (t *teamRecord) fits(room quota.Room) bool {
	return t.used.Add(room).Fits(t.Limit)
}

// delayed holds items until the time they may be tried again.
type delayed []delayedItem

type delayedItem struct {
	it    *item
	until time.Time
}

var _ heap.Interface = (*delayed)(nil)

// Len returns the number of items.
func (d delayed) Len() int { return len(d) }

// Less orders items by their time.
func (d delayed) Less(i, j int) bool { return d[i].until.Before(d[j].until) }

// Swap swaps two items.
func (d delayed) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds an item.
func (d *delayed) Push(x any) {
	if it, ok := x.(delayedItem); ok {
		*d = append(*d, it)
	}
}

// Pop removes the last item.
func (d *delayed) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
