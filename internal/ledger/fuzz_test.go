package ledger

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jasmineward/jasmineward/internal/note"
)

const (
	oracleSteps = 400
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

// TestOracleLedger is the fuzzing of the ledger alone.
func TestOracleLedger(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(1, oracleSteps).Draw(rt, "steps")
		if err := runOracle(seed, breakNone, steps); err != nil {
			rt.Fatalf("seed %d, %d steps: %s", seed, steps, err)
		}
	})
}

// TestOracleLedgerBites puts one check after the other out of action, and
// sees that the oracle finds it.
func TestOracleLedgerBites(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken breakKind
	}{
		{name: "room of a worker", broken: breakRoom},
		{name: "upper limit", broken: breakLimit},
		{name: "one live attempt", broken: breakTwice},
		{name: "at most once", broken: breakAtMostOnce},
		{name: "withdrawn key", broken: breakKey},
		{name: "true not-run", broken: breakNotRun},
		{name: "leaving target", broken: breakLeaving},
		{name: "one outcome", broken: breakOutcome},
		{name: "order of notes", broken: breakNote},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range mostCases {
				if err := runOracle(uint64(seed), tc.broken, oracleSteps); err != nil {
					t.Logf("found in case %d: %s", seed+1, err)
					return
				}
			}
			t.Fatalf("not found in %d cases", mostCases)
		})
	}
}

// FuzzDecodeCommand sees that no bytes of a log record break the decoder or
// the ledger.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []Command{
		{Note: &note.Note{Number: 1}},
		{Place: &Place{Groups: []Group{{Job: 1}}}},
		{Report: &Report{Target: "a"}},
	} {
		data, err := c.Encode()
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err == nil {
			New(DefaultBounds()).Apply(c)
		}
	})
}

// FuzzRestore sees that no bytes of a snapshot break the ledger.
func FuzzRestore(f *testing.F) {
	data, err := New(DefaultBounds()).Capture()()
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = New(DefaultBounds()).Restore(data)
	})
}
