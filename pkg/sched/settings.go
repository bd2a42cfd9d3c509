package sched

import "time"

// settings holds the configuration of an Engine.
type settings struct {
	unschedulableGrace     time.Duration
	aging                  time.Duration
	underservedAging       time.Duration
	gangReservationTimeout time.Duration
	backoff                time.Duration
	maxBackoff             time.Duration
	probeDelay             time.Duration
	headroom               float64
	sampleCount            int
	maxReservations        int
	maxPreemptionsPerTask  int
	seed                   uint64
	makeIndex              func(size int) index
	policies               []Prioritized[Policy[*Job]]
}

// Option configures an Engine.
type Option func(*settings)

// WithUnschedulableGrace sets how long an unschedulable job may wait for
// suitable workers before it is refused.
func WithUnschedulableGrace(d time.Duration) Option {
	return func(s *settings) { s.unschedulableGrace = d }
}

// WithAging sets how long a job waits before workers are reserved for it.
func WithAging(d time.Duration) Option {
	return func(s *settings) { s.aging = d }
}

// WithUnderservedAging sets how long a job waits before workers are reserved
// for it if its team is well below its share.
func WithUnderservedAging(d time.Duration) Option {
	return func(s *settings) { s.underservedAging = d }
}

// WithHeadroom sets the fraction of the fleet's CPU that batch jobs and
// gangs leave free for services.
func WithHeadroom(fraction float64) Option {
	return func(s *settings) { s.headroom = fraction }
}

// WithBackoff sets the initial and maximum delay before a failed task is
// retried.
func WithBackoff(first, longest time.Duration) Option {
	return func(s *settings) {
		s.backoff = first
		s.maxBackoff = longest
	}
}

// WithProbeDelay sets how long after its quarantine a worker is first
// probed.
func WithProbeDelay(d time.Duration) Option {
	return func(s *settings) { s.probeDelay = d }
}

// IndexKind selects how free resources are indexed.
type IndexKind uint8

// Kinds of indexes. The tree is the default; the others are kept for
// comparison in benchmarks.
const (
	IndexTree IndexKind = iota + 1
	IndexBuckets
	IndexLinear
)

// WithIndex selects how free resources are indexed.
func WithIndex(kind IndexKind) Option {
	return func(s *settings) {
		s.makeIndex = func(size int) index { return newIndex(kind, size) }
	}
}

// WithSeed sets the random seed used to sample workers.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithPolicy adds a policy. Of the policies that apply to a job, the one
// with the lowest priority number is used. The default policies have the
// priorities 100, 200 and 300.
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
		unschedulableGrace:     10 * time.Second,
		aging:                  30 * time.Second,
		underservedAging:       2 * time.Second,
		gangReservationTimeout: 2 * time.Minute,
		backoff:                500 * time.Millisecond,
		maxBackoff:             30 * time.Second,
		probeDelay:             30 * time.Second,
		headroom:               0.04,
		sampleCount:            12,
		maxReservations:        8,
		maxPreemptionsPerTask:  2,
		seed:                   1,
		makeIndex:              func(size int) index { return newIndex(IndexTree, size) },
		policies:               DefaultPolicies(),
	}
}
