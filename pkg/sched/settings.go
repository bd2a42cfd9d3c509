package sched

import "time"

// settings are the knobs of an Engine.
type settings struct {
	grace        time.Duration
	aging        time.Duration
	agingBelow   time.Duration
	reserveFor   time.Duration
	backoff      time.Duration
	maxBackoff   time.Duration
	probeAfter   time.Duration
	headroom     float64
	samples      int
	maxHolders   int
	maxPreempted int
	seed         uint64
	makeTree     func(places int) index
	policies     []Prioritized[Policy[*Job]]
}

// Option changes how an Engine decides.
type Option func(*settings)

// WithGrace sets how long work that fits nowhere waits for workers to come.
func WithGrace(d time.Duration) Option {
	return func(s *settings) { s.grace = d }
}

// WithAging sets after how long a wait room is reserved for a job.
func WithAging(d time.Duration) Option {
	return func(s *settings) { s.aging = d }
}

// WithAgingBelow sets after how long a wait room is reserved for a job of a
// team that has clearly less than its share.
func WithAgingBelow(d time.Duration) Option {
	return func(s *settings) { s.agingBelow = d }
}

// WithHeadroom sets the part of the fleet's processors that batch and gangs
// leave to services.
func WithHeadroom(part float64) Option {
	return func(s *settings) { s.headroom = part }
}

// WithBackoff sets the first and the longest wait before a task that failed
// is tried again.
func WithBackoff(first, longest time.Duration) Option {
	return func(s *settings) {
		s.backoff = first
		s.maxBackoff = longest
	}
}

// WithProbeAfter sets after how long a quarantined worker is first probed.
func WithProbeAfter(d time.Duration) Option {
	return func(s *settings) { s.probeAfter = d }
}

// Index names how free room is indexed.
type Index uint8

// Indexes. The tree is the default; the others are kept to be measured
// against it.
const (
	IndexTree Index = iota + 1
	IndexBuckets
	IndexLinear
)

// WithIndex sets how free room is indexed.
func WithIndex(kind Index) Option {
	return func(s *settings) {
		s.makeTree = func(places int) index { return newIndex(kind, places) }
	}
}

// WithSeed sets the seed of the sampling of workers.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithPolicy adds a policy. The one of the lowest priority number that takes
// a job decides for it; those of the package stand at 100, 200 and 300.
func WithPolicy(policy Policy[*Job], priority int) Option {
	return func(s *settings) {
		s.policies = append(s.policies, Prioritized[Policy[*Job]]{
			Value:    policy,
			Priority: priority,
		})
	}
}

func defaultSettings() settings {
	return settings{
		grace:        10 * time.Second,
		aging:        30 * time.Second,
		agingBelow:   2 * time.Second,
		reserveFor:   2 * time.Minute,
		backoff:      500 * time.Millisecond,
		maxBackoff:   30 * time.Second,
		probeAfter:   30 * time.Second,
		headroom:     0.04,
		samples:      12,
		maxHolders:   8,
		maxPreempted: 2,
		seed:         1,
		makeTree:     func(places int) index { return newIndex(IndexTree, places) },
		policies:     DefaultPolicies(),
	}
}
