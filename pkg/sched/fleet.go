package sched

import (
	"sort"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// fleet holds the workers and what is placed on them. Workers are ordered by
// failure domain and rack, so that each domain is a contiguous range of
// positions.
type fleet struct {
	byID        map[string]*worker
	ordered     []*worker
	domains     []domainRange
	topologyIDs map[string]int32
	freeIndex   index
	// reclaimableIndex holds the free resources plus those that preemption
	// would free.
	reclaimableIndex index
	capacityIndex    index
	// freeByDomain holds the free resources of each failure domain.
	freeByDomain map[string]quota.Resources
	total        quota.Resources
	used         quota.Resources
	stale        bool
	makeIndex    func(size int) index
}

// domainRange is the half-open range of positions of one failure domain.
type domainRange struct {
	domain     string
	topologyID int32
	from, to   int
}

type worker struct {
	Worker
	position int
	// domainID and rackID number the failure domain and the rack.
	domainID   int32
	rackID     int32
	used       quota.Resources
	usedSlots  int
	placements map[taskKey]*placement
	// preemptibleResources is what preempting all possible victims would
	// free.
	preemptibleResources quota.Resources
	preemptibleSlots     int
	// tentative holds the resources taken by View.Allocate until View.Reset.
	tentative      quota.Resources
	tentativeSlots int
	reservedFor    JobID
	health         health
}

type taskKey struct {
	job  JobID
	task int
}

// placement is an attempt that occupies resources on a worker.
type placement struct {
	key         taskKey
	attempt     uint32
	resources   quota.Resources
	team        string
	service     string
	preemptible bool
	worker      *worker
}

func newFleet(makeIndex func(size int) index) *fleet {
	return &fleet{
		byID:         map[string]*worker{},
		topologyIDs:  map[string]int32{},
		freeByDomain: map[string]quota.Resources{},
		makeIndex:    makeIndex,
		stale:        true,
	}
}

func (f *fleet) upsert(w Worker) {
	if existing, ok := f.byID[w.ID]; ok {
		f.total = f.total.Sub(existing.Capacity)
		existing.Worker = w
	} else {
		f.byID[w.ID] = &worker{
			Worker:     w,
			placements: map[taskKey]*placement{},
		}
	}
	record := f.byID[w.ID]
	record.domainID = f.topologyID(w.Domain)
	record.rackID = f.topologyID(w.Domain + "/" + w.Rack)
	f.total = f.total.Add(w.Capacity)
	f.stale = true
}

// topologyID returns the number of a failure domain or rack.
func (f *fleet) topologyID(name string) int32 {
	id, ok := f.topologyIDs[name]
	if !ok {
		id = int32(len(f.topologyIDs))
		f.topologyIDs[name] = id
	}
	return id
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

// refresh rebuilds the order and the indexes after workers were added,
// updated or removed.
func (f *fleet) refresh() {
	if !f.stale {
		return
	}
	f.stale = false
	f.ordered = f.ordered[:0]
	for _, w := range f.byID {
		f.ordered = append(f.ordered, w)
	}
	sort.Slice(f.ordered, func(i, j int) bool { return workerBefore(f.ordered[i], f.ordered[j]) })
	f.freeIndex = f.makeIndex(len(f.ordered))
	f.reclaimableIndex = f.makeIndex(len(f.ordered))
	f.capacityIndex = f.makeIndex(len(f.ordered))
	f.domains = f.domains[:0]
	clear(f.freeByDomain)
	for i, w := range f.ordered {
		w.position = i
		f.capacityIndex.set(i, vectorOf(w.Capacity, w.Slots))
		f.freeByDomain[w.Domain] = f.freeByDomain[w.Domain].Add(w.freeResources())
		f.updateIndexes(w)
		n := len(f.domains)
		if n == 0 || f.domains[n-1].domain != w.Domain {
			f.domains = append(f.domains, domainRange{
				domain:     w.Domain,
				topologyID: w.domainID,
				from:       i,
			})
			n++
		}
		f.domains[n-1].to = i + 1
	}
}

// workerBefore reports whether a precedes b in the order of the fleet.
func workerBefore(a, b *worker) bool {
	if a.Domain != b.Domain {
		return a.Domain < b.Domain
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// updateIndexes records the free and reclaimable resources of the worker, or
// none if the worker is reserved or not schedulable.
func (f *fleet) updateIndexes(w *worker) {
	if f.stale {
		return
	}
	if w.reservedFor != 0 || !w.health.schedulable() {
		f.freeIndex.set(w.position, unavailable)
		f.reclaimableIndex.set(w.position, unavailable)
		return
	}
	f.freeIndex.set(w.position, w.freeVector())
	reclaimable := w.Capacity.Sub(w.used).Add(w.preemptibleResources)
	f.reclaimableIndex.set(w.position, vectorOf(reclaimable, w.Slots-w.usedSlots+w.preemptibleSlots))
}

func (w *worker) freeResources() quota.Resources {
	return w.Capacity.Sub(w.used)
}

func (w *worker) freeVector() vector {
	return vectorOf(w.freeResources(), w.Slots-w.usedSlots)
}

func (f *fleet) assign(w *worker, p *placement) {
	w.placements[p.key] = p
	p.worker = w
	w.used = w.used.Add(p.resources)
	w.usedSlots++
	f.used = f.used.Add(p.resources)
	f.freeByDomain[w.Domain] = f.freeByDomain[w.Domain].Sub(p.resources)
	if p.preemptible {
		w.preemptibleResources = w.preemptibleResources.Add(p.resources)
		w.preemptibleSlots++
	}
	f.updateIndexes(w)
}

func (f *fleet) release(p *placement) {
	w := p.worker
	if w.placements[p.key] != p {
		return
	}
	delete(w.placements, p.key)
	w.used = w.used.Sub(p.resources)
	w.usedSlots--
	if f.byID[w.ID] == w {
		f.used = f.used.Sub(p.resources)
		f.freeByDomain[w.Domain] = f.freeByDomain[w.Domain].Add(p.resources)
	}
	f.unmarkPreemptible(p)
	f.updateIndexes(w)
}

// unmarkPreemptible removes the attempt from the possible victims.
func (f *fleet) unmarkPreemptible(p *placement) {
	if !p.preemptible {
		return
	}
	p.preemptible = false
	p.worker.preemptibleResources = p.worker.preemptibleResources.Sub(p.resources)
	p.worker.preemptibleSlots--
	f.updateIndexes(p.worker)
}

func (f *fleet) reserve(w *worker, job JobID) {
	w.reservedFor = job
	f.updateIndexes(w)
}

func (f *fleet) unreserve(w *worker) {
	w.reservedFor = 0
	f.updateIndexes(w)
}

// fitsEmptyWorker reports whether some worker could take the need if it were
// empty.
func (f *fleet) fitsEmptyWorker(need vector) bool {
	return f.capacityIndex.find(need, 0, len(f.ordered)) >= 0
}
