package sched

import (
	"slices"
	"time"
)

const (
	// blameBound is the blame at which a worker is quarantined.
	blameBound = 2.5
	// rememberedWorkers bounds the workers whose last result of a service is
	// kept, to tell its faults from theirs.
	rememberedWorkers = 16
	// Parts of the fleet, a domain and a rack that may be in quarantine.
	quarantineFleet  = 0.10
	quarantineDomain = 0.25
	quarantineRack   = 0.50
	maxProbeAfter    = 10 * time.Minute
	// probesToReturn is how many probes in a row have to succeed.
	probesToReturn = 2
)

// health is what is known of a worker's failures.
type health struct {
	leaving     bool
	quarantined bool
	blame       float64
	jobs        []JobID
	probeAt     time.Time
	probeAfter  time.Duration
	probing     bool
	succeeded   int
}

// open tells whether the worker takes any work.
func (h *health) open() bool {
	return !h.leaving && !h.quarantined
}

// blame counts a result for or against the worker it came from. A failure
// weighs as much as the service does well elsewhere: work that fails
// everywhere blames no worker.
func (e *Engine) blame(job *jobRecord, w *worker, service *serviceRecord, result Result) {
	h := &w.health
	if h.quarantined {
		e.probed(w, result)
		return
	}
	if !result.Failed {
		h.blame = 0
		h.jobs = h.jobs[:0]
		return
	}
	if slices.Contains(h.jobs, job.ID) {
		return
	}
	h.jobs = append(h.jobs, job.ID)
	h.blame += 1 - service.failsElsewhere(w.ID)
	if h.blame >= blameBound && e.mayQuarantine(w) {
		e.quarantine(w, result.Now)
	}
}

func (e *Engine) quarantine(w *worker, now time.Time) {
	h := &w.health
	h.quarantined = true
	h.succeeded = 0
	h.probeAfter = e.settings.probeAfter
	h.probeAt = now.Add(h.probeAfter)
	e.sick = append(e.sick, w)
	e.fleet.update(w)
}

// mayQuarantine keeps a bad release from emptying the fleet. One worker of
// each rack, domain and fleet may always go.
func (e *Engine) mayQuarantine(w *worker) bool {
	var rack, domain, rackSize, domainSize int
	for _, other := range e.fleet.byID {
		if other.Domain != w.Domain {
			continue
		}
		domainSize++
		if other.Rack == w.Rack {
			rackSize++
		}
	}
	for _, other := range e.sick {
		if other.Domain != w.Domain {
			continue
		}
		domain++
		if other.Rack == w.Rack {
			rack++
		}
	}
	return withinPart(rack, rackSize, quarantineRack) &&
		withinPart(domain, domainSize, quarantineDomain) &&
		withinPart(len(e.sick), len(e.fleet.byID), quarantineFleet)
}

func withinPart(have, size int, part float64) bool {
	return have == 0 || float64(have+1) <= part*float64(size)
}

// probe sends one idempotent task each to the quarantined workers whose time
// has come.
func (e *Engine) probe(now time.Time) {
	e.sick = slices.DeleteFunc(e.sick, func(w *worker) bool {
		return e.fleet.byID[w.ID] != w || !w.health.quarantined
	})
	for _, w := range e.sick {
		h := &w.health
		if h.leaving || h.probing || now.Before(h.probeAt) || w.reservedFor != 0 {
			continue
		}
		if it := e.probeItem(w); it != nil {
			h.probing = true
			places := e.view.One(Place(w.place))
			e.commit(it.job, it, places, policyProbe, now)
		}
	}
}

// probeItem returns waiting work that can stand a failure on the worker.
func (e *Engine) probeItem(w *worker) *item {
	for _, team := range e.round0() {
		for _, q := range team.shapes {
			it := q.oldest()
			if it == nil || it.job.Kind == KindGang || it.job.Urgent || !it.job.Idempotent {
				continue
			}
			if e.avoid(it.job, it.task) == w.ID || !team.fits(it.job.Room) {
				continue
			}
			if e.expectedRoom(it.job.Job).Fits(w.freeRoom()) && w.slots < w.Slots {
				return it
			}
		}
	}
	return nil
}

func (e *Engine) probed(w *worker, result Result) {
	h := &w.health
	h.probing = false
	if result.Failed {
		h.succeeded = 0
		h.probeAfter = min(2*h.probeAfter, maxProbeAfter)
		h.probeAt = result.Now.Add(h.probeAfter)
		return
	}
	h.succeeded++
	h.probeAt = result.Now
	if h.succeeded < probesToReturn {
		return
	}
	h.quarantined = false
	h.blame = 0
	h.jobs = h.jobs[:0]
	e.fleet.update(w)
	e.changed()
}

// Quarantined returns the ids of the workers in quarantine.
func (e *Engine) Quarantined() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, w := range e.sick {
		if w.health.quarantined && e.fleet.byID[w.ID] == w {
			ids = append(ids, w.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
