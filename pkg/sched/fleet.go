package sched

import (
	"sort"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// fleet holds the workers with what is placed on them. Workers stand in the
// order of failure domain and rack, so that a range of places is a domain.
type fleet struct {
	byID     map[string]*worker
	places   []*worker
	domains  []span
	areas    map[string]int32
	free     index
	reclaim  index
	capacity index
	// freeIn is the free room of each failure domain.
	freeIn   map[string]quota.Room
	total    quota.Room
	used     quota.Room
	stale    bool
	makeTree func(places int) index
}

// span is the places of one failure domain.
type span struct {
	domain   string
	area     int32
	from, to int
}

type worker struct {
	Worker
	place int
	// domainArea and rackArea number the failure domain and the rack.
	domainArea int32
	rackArea   int32
	used       quota.Room
	slots      int
	running    map[taskKey]*running
	// preemptible is the room that victims could give back.
	preemptible      quota.Room
	preemptibleSlots int
	// tentative is taken by a choice that is still being made.
	tentative      quota.Room
	tentativeSlots int
	reservedFor    JobID
	health         health
}

type taskKey struct {
	job  JobID
	task int
}

// running is an attempt that takes room on a worker.
type running struct {
	key     taskKey
	attempt uint32
	room    quota.Room
	team    string
	service string
	victim  bool
	worker  *worker
}

func newFleet(makeTree func(places int) index) *fleet {
	return &fleet{
		byID:     map[string]*worker{},
		areas:    map[string]int32{},
		freeIn:   map[string]quota.Room{},
		makeTree: makeTree,
		stale:    true,
	}
}

func (f *fleet) set(w Worker) {
	if known, ok := f.byID[w.ID]; ok {
		f.total = f.total.Sub(known.Capacity)
		known.Worker = w
	} else {
		f.byID[w.ID] = &worker{
			Worker:  w,
			running: map[taskKey]*running{},
		}
	}
	known := f.byID[w.ID]
	known.domainArea = f.area(w.Domain)
	known.rackArea = f.area(w.Domain + "/" + w.Rack)
	f.total = f.total.Add(w.Capacity)
	f.stale = true
}

// area returns the number of a failure domain or rack.
func (f *fleet) area(name string) int32 {
	area, ok := f.areas[name]
	if !ok {
		area = int32(len(f.areas))
		f.areas[name] = area
	}
	return area
}

func (f *fleet) remove(id string) *worker {
	w, ok := f.byID[id]
	if !ok {
		return nil
	}
	delete(f.byID, id)
	f.total = f.total.Sub(w.Capacity)
	f.used = f.used.Sub(w.used)
	f.stale = true
	return w
}

// refresh brings the order of places up to date after workers came or went.
func (f *fleet) refresh() {
	if !f.stale {
		return
	}
	f.stale = false
	f.places = f.places[:0]
	for _, w := range f.byID {
		f.places = append(f.places, w)
	}
	sort.Slice(f.places, func(i, j int) bool { return before(f.places[i], f.places[j]) })
	f.free = f.makeTree(len(f.places))
	f.reclaim = f.makeTree(len(f.places))
	f.capacity = f.makeTree(len(f.places))
	f.domains = f.domains[:0]
	clear(f.freeIn)
	for i, w := range f.places {
		w.place = i
		f.capacity.set(i, vectorOf(w.Capacity, w.Slots))
		f.freeIn[w.Domain] = f.freeIn[w.Domain].Add(w.freeRoom())
		f.update(w)
		n := len(f.domains)
		if n == 0 || f.domains[n-1].domain != w.Domain {
			f.domains = append(f.domains, span{
				domain: w.Domain,
				area:   w.domainArea,
				from:   i,
			})
			n++
		}
		f.domains[n-1].to = i + 1
	}
}

func before(a, b *worker) bool {
	if a.Domain != b.Domain {
		return a.Domain < b.Domain
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// update tells the indexes what is free on the worker.
func (f *fleet) update(w *worker) {
	if f.stale {
		return
	}
	if w.reservedFor != 0 || !w.health.open() {
		f.free.set(w.place, closed)
		f.reclaim.set(w.place, closed)
		return
	}
	f.free.set(w.place, w.freeVector())
	reclaim := w.Capacity.Sub(w.used).Add(w.preemptible)
	f.reclaim.set(w.place, vectorOf(reclaim, w.Slots-w.slots+w.preemptibleSlots))
}

func (w *worker) freeRoom() quota.Room {
	return w.Capacity.Sub(w.used)
}

func (w *worker) freeVector() vector {
	return vectorOf(w.freeRoom(), w.Slots-w.slots)
}

func (f *fleet) put(w *worker, r *running) {
	w.running[r.key] = r
	r.worker = w
	w.used = w.used.Add(r.room)
	w.slots++
	f.used = f.used.Add(r.room)
	f.freeIn[w.Domain] = f.freeIn[w.Domain].Sub(r.room)
	if r.victim {
		w.preemptible = w.preemptible.Add(r.room)
		w.preemptibleSlots++
	}
	f.update(w)
}

func (f *fleet) take(r *running) {
	w := r.worker
	if w.running[r.key] != r {
		return
	}
	delete(w.running, r.key)
	w.used = w.used.Sub(r.room)
	w.slots--
	if f.byID[w.ID] == w {
		f.used = f.used.Sub(r.room)
		f.freeIn[w.Domain] = f.freeIn[w.Domain].Add(r.room)
	}
	f.spare(r)
	f.update(w)
}

// spare takes the attempt off the list of possible victims.
func (f *fleet) spare(r *running) {
	if !r.victim {
		return
	}
	r.victim = false
	r.worker.preemptible = r.worker.preemptible.Sub(r.room)
	r.worker.preemptibleSlots--
	f.update(r.worker)
}

func (f *fleet) reserve(w *worker, job JobID) {
	w.reservedFor = job
	f.update(w)
}

func (f *fleet) unreserve(w *worker) {
	w.reservedFor = 0
	f.update(w)
}

// everFits tells whether some worker could take the need were it empty.
func (f *fleet) everFits(need vector) bool {
	return f.capacity.find(need, 0, len(f.places)) >= 0
}
