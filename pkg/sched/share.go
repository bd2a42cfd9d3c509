package sched

import (
	"math"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// shareWindow is the time constant over which usage is averaged.
	shareWindow = 60 * time.Second
	// startsWindow is the time constant of a team's rate of starts.
	startsWindow = 10 * time.Second
)

// window averages a team's dominant share over time, with exponential decay.
type window struct {
	average float64
	current float64
	at      time.Time
}

// advance lets time pass at the current value.
func (w *window) advance(now time.Time) {
	if w.at.IsZero() {
		w.at = now
		w.average = w.current
		return
	}
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(shareWindow))
	w.average = w.average*keep + w.current*(1-keep)
	w.at = now
}

// set notes a new dominant share.
func (w *window) set(now time.Time, share float64) {
	w.advance(now)
	w.current = share
}

// order returns the key by which teams are served, lowest first: the mean of
// what the team has now and had over the window, by its weight.
func (t *teamRecord) order() float64 {
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	return (t.share.average + t.share.current) / 2 / weight
}

func (t *teamRecord) use(now time.Time, total, change quota.Room) {
	t.used = t.used.Add(change)
	t.share.set(now, t.used.Dominant(total))
}

// rate is a decaying count of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, n int) {
	r.decay(now)
	r.value += float64(n) / startsWindow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() && now.After(r.at) {
		r.value *= math.Exp(-float64(now.Sub(r.at)) / float64(startsWindow))
	}
	r.at = now
}
