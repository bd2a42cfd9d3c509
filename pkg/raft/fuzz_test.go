package raft

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	oracleSteps = 250
	mostCases   = 200
	// fixedSeed makes every run of the tests try the same cases.
	fixedSeed = "20261204"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	os.Exit(m.Run())
}

type randomChooser struct{ random *rand.Rand }

func (c randomChooser) pick(n int) int {
	return c.random.IntN(n)
}

// TestOracleLog is the fuzzing of the log alone.
func TestOracleLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// One seed drives a case, so that a case is quick to draw; rapid
		// still shrinks the number of steps.
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(1, oracleSteps).Draw(rt, "steps")
		choose := randomChooser{rand.New(rand.NewPCG(seed, 1))}
		if err := runWorld(choose, breakNone, steps); err != nil {
			rt.Fatalf("seed %d, %d steps: %s", seed, steps, err)
		}
	})
}

// TestOracleLogKept runs the cases in which the fuzzing once found a fault.
func TestOracleLogKept(t *testing.T) {
	for _, kept := range []struct {
		name  string
		seed  uint64
		steps int
	}{
		{name: "commit index synced before its entry", seed: 301, steps: 80},
	} {
		t.Run(kept.name, func(t *testing.T) {
			choose := randomChooser{rand.New(rand.NewPCG(kept.seed, 1))}
			if err := runWorld(choose, breakNone, kept.steps); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestOracleLogBites sees that the oracle finds each deliberate break.
func TestOracleLogBites(t *testing.T) {
	// The cases start shortly before the first that finds the break;
	// docs/TESTING.md tells how many it took from the first case on.
	cases := []struct {
		name   string
		broken breakKind
		from   int
	}{
		{name: "vote forgotten at restart", broken: breakForgetVote, from: 0},
		{name: "synced entries lost at restart", broken: breakLoseSynced, from: 0},
		{name: "reply sent before sync", broken: breakAckFirst, from: 1790},
		{name: "lost disk comes back as itself", broken: breakOldSelf, from: 0},
		{name: "clocks drift past the margin", broken: breakClock, from: 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := tc.from; seed < tc.from+mostCases; seed++ {
				choose := randomChooser{rand.New(rand.NewPCG(uint64(seed), 2))}
				if err := runWorld(choose, tc.broken, oracleSteps); err != nil {
					t.Logf("found in case %d: %s", seed+1, err)
					return
				}
			}
			c.Fatalf("not found in %d cases", mostCases)
		})
	}
}

// TestRestartKeepsPromise restarts the follower that upholds the leader's
// lease, again and again, while a third replica that can't hear the leader
// asks it for its vote.
func TestRestartKeepsPromise(t *testing.T) {
	for _, broken := range []breakKind{breakNone, breakNoPromise} {
		found := false
		for seed := range 40 {
			found = found || restartFollower(uint64(seed), broken) != nil
		}
		qt.Assert(t, found, qt.Equals, broken == breakNoPromise)
	}
}

func restartFollower(seed uint64, broken breakKind) error {
	choose := randomChooser{rand.New(rand.NewPCG(seed, 3))}
	w := newWorld(choose, broken, 3)
	if err := w.advance(600 * time.Millisecond); err != nil {
		return err
	}
	var leader ID
	for _, id := range w.order {
		if w.replicas[id].core.role == RoleLeader {
			leader = id
		}
	}
	deaf := w.order[0]
	if deaf == leader {
		deaf = w.order[1]
	}
	w.cut[[2]ID{leader, deaf}] = true
	w.cut[[2]ID{deaf, leader}] = true
	if err := w.advance(150 * time.Millisecond); err != nil {
		return err
	}
	for range 60 {
		for _, id := range w.order {
			if id != leader && id != deaf {
				w.kill(w.replicas[id])
				w.start(w.replicas[id])
			}
		}
		if err := w.advance(7 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
