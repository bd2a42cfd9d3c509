package sched

import (
	"container/heap"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// queueItem is a waiting task, or a whole waiting gang.
type queueItem struct {
	job   *jobRecord
	task  int
	since time.Time
	// removed items are skipped; deleting them from the middle of a queue
	// would be more expensive.
	removed bool
}

// sizeClass groups waiting work of similar size. If the oldest item of a
// class does not fit, the others of the class are not tried.
type sizeClass struct {
	kind         Kind
	urgent       bool
	cpu          int
	memory       int
	accelerators int64
}

func sizeClassOf(j Job) sizeClass {
	return sizeClass{
		kind:         j.Kind,
		urgent:       j.Urgent,
		cpu:          classOf(int64(j.Resources.CPU)),
		memory:       classOf(int64(j.Resources.Memory)),
		accelerators: j.Resources.Accelerators,
	}
}

// classQueue holds the waiting items of one team and size class, oldest
// first.
type classQueue struct {
	class sizeClass
	items []*queueItem
	head  int
	// blockedVersion is the fleet version at which the oldest item last
	// failed to be placed, or 0 if it has not; noCapacity is set if only free
	// resources were lacking.
	blockedVersion uint64
	noCapacity     bool
}

func (q *classQueue) push(item *queueItem) {
	q.items = append(q.items, item)
}

// oldest returns the first item that is still waiting, or nil.
func (q *classQueue) oldest() *queueItem {
	for q.head < len(q.items) {
		if item := q.items[q.head]; !item.removed {
			return item
		}
		q.items[q.head] = nil
		q.head++
	}
	q.items = q.items[:0]
	q.head = 0
	return nil
}

// compact releases the memory of items removed from the front.
func (q *classQueue) compact() {
	if q.head < 1024 || q.head < len(q.items)/2 {
		return
	}
	q.items = append([]*queueItem(nil), q.items[q.head:]...)
	q.head = 0
}

// teamRecord is a team with its waiting work and its usage.
type teamRecord struct {
	Team
	queues       []*classQueue
	queueByClass map[sizeClass]*classQueue
	// waiting counts the items that are not removed.
	waiting       int
	waitingUrgent int
	used          quota.Resources
	share         shareAverage
	startRate     decayingRate
}

func newTeamRecord(t Team) *teamRecord {
	return &teamRecord{
		Team:         t,
		queueByClass: map[sizeClass]*classQueue{},
	}
}

func (t *teamRecord) push(item *queueItem) {
	class := sizeClassOf(item.job.Job)
	q := t.queueByClass[class]
	if q == nil {
		q = &classQueue{class: class}
		t.queueByClass[class] = q
		t.queues = append(t.queues, q)
	}
	q.push(item)
	t.waiting++
	if item.job.Urgent {
		t.waitingUrgent++
	}
}

func (t *teamRecord) remove(item *queueItem) {
	if item.removed {
		return
	}
	item.removed = true
	t.waiting--
	if item.job.Urgent {
		t.waitingUrgent--
	}
	q := t.queueByClass[sizeClassOf(item.job.Job)]
	if q == nil {
		return
	}
	q.blockedVersion = 0
	if q.oldest() == nil {
		t.removeQueue(q)
		return
	}
	q.compact()
}

// removeQueue removes an empty queue, so that Decide does not visit it.
func (t *teamRecord) removeQueue(q *classQueue) {
	delete(t.queueByClass, q.class)
	for i, other := range t.queues {
		if other == q {
			last := len(t.queues) - 1
			t.queues[i] = t.queues[last]
			t.queues[last] = nil
			t.queues = t.queues[:last]
			return
		}
	}
}

// withinLimit reports whether the team may use the additional resources.
func (t *teamRecord) withinLimit(resources quota.Resources) bool {
	return t.used.Add(resources).FitsIn(t.Limit)
}

// delayed is a heap of items ordered by the time they may be retried.
type delayed []delayedItem

type delayedItem struct {
	item  *queueItem
	until time.Time
}

var _ heap.Interface = (*delayed)(nil)

func (d delayed) Len() int { return len(d) }

func (d delayed) Less(i, j int) bool { return d[i].until.Before(d[j].until) }

func (d delayed) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *delayed) Push(x any) {
	if item, ok := x.(delayedItem); ok {
		*d = append(*d, item)
	}
}

func (d *delayed) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
