package blame

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Tasks must not be given up for crashes that they have nothing to do with, whichever way
// the machines crash: together, by turns, one by one, or just when the tasks start anew.
func TestInnocentTasksAreNotGivenUp(t *testing.T) {
	patterns := map[string]func(f *fleet) func(at time.Duration){
		"some by turns, observers change": func(f *fleet) func(time.Duration) {
			return func(at time.Duration) {
				for i := range len(f.machines) / 10 {
					if each(at+time.Duration(i)*130*time.Millisecond, 1400*time.Millisecond) {
						f.crash(i, 700*time.Millisecond, false)
					}
				}
				if each(at, 7*time.Second) {
					f.changeObserver()
				}
			}
		},
		"waves that leave no time between": func(f *fleet) func(time.Duration) {
			return func(at time.Duration) {
				if each(at, 5*time.Second) {
					f.crashShare(0.14, 4500*time.Millisecond, true)
				}
			}
		},
		"short waves": func(f *fleet) func(time.Duration) {
			return func(at time.Duration) {
				if each(at, 1500*time.Millisecond) {
					f.crashShare(0.14, 200*time.Millisecond, false)
				}
			}
		},
		"some by turns": func(f *fleet) func(time.Duration) {
			return func(at time.Duration) {
				for i := range len(f.machines) / 10 {
					if each(at+time.Duration(i)*130*time.Millisecond, 1400*time.Millisecond) {
						f.crash(i, 700*time.Millisecond, false)
					}
				}
			}
		},
		"one by one": func(f *fleet) func(time.Duration) {
			return func(at time.Duration) {
				if each(at, 200*time.Millisecond) {
					f.crash(f.random.IntN(len(f.machines)), 2*time.Second, false)
				}
			}
		},
	}
	for name, pattern := range patterns {
		for size, seeds := range fleetSizes {
			for seed := range seeds {
				f := newFleet(seed, size)
				f.emptiest = seed%2 == 1
				f.play(pattern(f))
				givenUp := 0
				for _, task := range f.tasks {
					if task.givenUp {
						givenUp++
					}
				}
				qt.Check(t, givenUp, qt.Equals, 0,
					qt.Commentf("%s, %d machines, seed %d, %d tasks", name, size, seed, len(f.tasks)))
			}
		}
	}
}

// Deadly tasks must be found after a few crashes, also while the observer changes and other
// machines crash for reasons of their own, and innocent tasks beside them must not pay for
// it.
func TestDeadlyTasksAreGivenUp(t *testing.T) {
	for _, test := range []struct {
		share float64
		waves []time.Duration
	}{
		{share: 0.03},
		{
			share: 0.015,
			waves: []time.Duration{6 * time.Second, 12 * time.Second},
		},
	} {
		for size, seeds := range fleetSizes {
			if size < minDeadlyFleet {
				continue
			}
			for seed := range seeds {
				f := newFleet(seed, size)
				f.deadlyShare = test.share
				f.play(func(at time.Duration) {
					if slices.Contains(test.waves, at) {
						f.crashShare(0.1, 3*time.Second, seed%2 == 0)
					}
					if at == 10*time.Second {
						f.changeObserver()
					}
				})
				most, innocent := 0, 0
				for _, task := range f.tasks {
					most = max(most, task.crashes)
					if task.givenUp && !task.deadly {
						innocent++
					}
				}
				comment := qt.Commentf("%d machines, seed %d, %d tasks", size, seed, len(f.tasks))
				qt.Check(t, most <= maxDeadlyCrashes, qt.IsTrue, qt.Commentf("%d crashes: %s", most, comment))
				qt.Check(t, innocent, qt.Equals, 0, comment)
			}
		}
	}
}
