package sched

import (
	"math"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

const (
	// shareTimeConstant is the time constant over which usage is averaged.
	shareTimeConstant = 60 * time.Second
	// startRateTimeConstant is the time constant of a team's start rate.
	startRateTimeConstant = 10 * time.Second
)

// shareAverage is an exponentially decaying average of a team's dominant
// share.
type shareAverage struct {
	average   float64
	current   float64
	updatedAt time.Time
}

// advance moves the average to the given time at the current share.
func (a *shareAverage) advance(now time.Time) {
	if a.updatedAt.IsZero() {
		a.updatedAt = now
		a.average = a.current
		return
	}
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(shareTimeConstant))
	a.average = a.average*keep + a.current*(1-keep)
	a.updatedAt = now
}

// set records a new dominant share.
func (a *shareAverage) set(now time.Time, share float64) {
	a.advance(now)
	a.current = share
}

// weightedShare returns the key by which teams are served, lowest first: the
// mean of the current and the average share, divided by the weight.
func (t *teamRecord) weightedShare() float64 {
	return rank.WeightedShare((t.share.average+t.share.current)/2, t.Weight)
}

func (t *teamRecord) addUsage(now time.Time, total, change quota.Resources) {
	t.used = t.used.Add(change)
	t.share.set(now, t.used.DominantShare(total))
}

// decayingRate is an exponentially decaying count of events per second.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

func (r *decayingRate) add(now time.Time, n int) {
	r.decay(now)
	r.value += float64(n) / startRateTimeConstant.Seconds()
}

func (r *decayingRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() && now.After(r.updatedAt) {
		r.value *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(startRateTimeConstant))
	}
	r.updatedAt = now
}
