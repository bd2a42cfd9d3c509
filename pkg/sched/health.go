package sched

import (
	"slices"
	"time"
)

const (
	// quarantineScore is the failure score at which a worker is quarantined.
	quarantineScore = 2.5
	// maxRecentResults bounds the workers whose last result is kept per
	// service. The results distinguish failures of the service from failures
	// of a worker.
	maxRecentResults = 16
	// Maximum fractions of the fleet, a failure domain and a rack that may
	// be in quarantine.
	maxQuarantinedOfFleet  = 0.10
	maxQuarantinedOfDomain = 0.25
	maxQuarantinedOfRack   = 0.50
	maxProbeDelay          = 10 * time.Minute
	// requiredProbes is how many consecutive probes must succeed to end a
	// quarantine.
	requiredProbes = 2
)

// health tracks the failures and the quarantine of a worker.
type health struct {
	cordoned     bool
	quarantined  bool
	failureScore float64
	// failedJobs are the jobs whose failures are counted in failureScore, each
	// once.
	failedJobs     []JobID
	nextProbe      time.Time
	probeDelay     time.Duration
	probing        bool
	probeSuccesses int
}

// schedulable reports whether the worker accepts work other than probes.
func (h *health) schedulable() bool {
	return !h.cordoned && !h.quarantined
}

// scoreResult updates the failure score of a worker. A failure is weighted
// by the success rate of the service on other workers, so that a service
// that fails everywhere counts against no worker.
func (e *Engine) scoreResult(job *jobRecord, w *worker, service *serviceRecord, result Result) {
	h := &w.health
	if h.quarantined {
		e.recordProbe(w, result)
		return
	}
	if !result.Failed {
		h.failureScore = 0
		h.failedJobs = h.failedJobs[:0]
		return
	}
	if slices.Contains(h.failedJobs, job.ID) {
		return
	}
	h.failedJobs = append(h.failedJobs, job.ID)
	h.failureScore += 1 - service.failureRateElsewhere(w.ID)
	if h.failureScore >= quarantineScore && e.mayQuarantine(w) {
		e.quarantine(w, result.EndedAt)
	}
}

func (e *Engine) quarantine(w *worker, now time.Time) {
	h := &w.health
	h.quarantined = true
	h.probeSuccesses = 0
	h.probeDelay = e.settings.probeDelay
	h.nextProbe = now.Add(h.probeDelay)
	e.quarantined = append(e.quarantined, w)
	e.fleet.updateIndexes(w)
}

// mayQuarantine reports whether the worker may be quarantined. The number of
// workers in quarantine is limited, so that a faulty release cannot empty the
// fleet. The limits of a rack, a failure domain and the fleet each permit at
// least one worker.
func (e *Engine) mayQuarantine(w *worker) bool {
	var quarantinedInRack, quarantinedInDomain, rackSize, domainSize int
	for _, other := range e.fleet.byID {
		if other.Domain != w.Domain {
			continue
		}
		domainSize++
		if other.Rack == w.Rack {
			rackSize++
		}
	}
	for _, other := range e.quarantined {
		if other.Domain != w.Domain {
			continue
		}
		quarantinedInDomain++
		if other.Rack == w.Rack {
			quarantinedInRack++
		}
	}
	return withinFraction(quarantinedInRack, rackSize, maxQuarantinedOfRack) &&
		withinFraction(quarantinedInDomain, domainSize, maxQuarantinedOfDomain) &&
		withinFraction(len(e.quarantined), len(e.fleet.byID), maxQuarantinedOfFleet)
}

// withinFraction reports whether count plus one is at most maxFraction of the
// total. A count of zero always passes.
func withinFraction(count, total int, maxFraction float64) bool {
	return count == 0 || float64(count+1) <= maxFraction*float64(total)
}

// probeQuarantined places one idempotent task on each quarantined worker
// whose probe is due.
func (e *Engine) probeQuarantined(now time.Time) {
	e.quarantined = slices.DeleteFunc(e.quarantined, func(w *worker) bool {
		return e.fleet.byID[w.ID] != w || !w.health.quarantined
	})
	for _, w := range e.quarantined {
		h := &w.health
		if h.cordoned || h.probing || now.Before(h.nextProbe) || w.reservedFor != 0 {
			continue
		}
		if item := e.probeItem(w); item != nil {
			h.probing = true
			positions := e.view.Single(Position(w.position))
			e.commit(item.job, item, positions, policyProbe, now)
		}
	}
}

// probeItem returns a waiting item that can safely fail on the worker.
func (e *Engine) probeItem(w *worker) *queueItem {
	for _, team := range e.teamsWaiting() {
		for _, q := range team.queues {
			item := q.oldest()
			if item == nil || item.job.Kind == KindGang || item.job.Urgent || !item.job.Idempotent {
				continue
			}
			if e.workerToAvoid(item.job, item.task) == w.ID || !team.withinLimit(item.job.Resources) {
				continue
			}
			if e.expectedResources(item.job.Job).FitsIn(w.freeResources()) && w.usedSlots < w.Slots {
				return item
			}
		}
	}
	return nil
}

func (e *Engine) recordProbe(w *worker, result Result) {
	h := &w.health
	h.probing = false
	if result.Failed {
		h.probeSuccesses = 0
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.nextProbe = result.EndedAt.Add(h.probeDelay)
		return
	}
	h.probeSuccesses++
	h.nextProbe = result.EndedAt
	if h.probeSuccesses < requiredProbes {
		return
	}
	h.quarantined = false
	h.failureScore = 0
	h.failedJobs = h.failedJobs[:0]
	e.fleet.updateIndexes(w)
	e.invalidateBlocked()
}

// Quarantined returns the sorted IDs of the workers in quarantine.
func (e *Engine) Quarantined() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, w := range e.quarantined {
		if w.health.quarantined && e.fleet.byID[w.ID] == w {
			ids = append(ids, w.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
