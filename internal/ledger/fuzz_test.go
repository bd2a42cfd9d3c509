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
	maxCases    = 200
	// fixedSeed makes every test run generate the same cases, unless
	// -rapid.seed is set.
	fixedSeed = "20261204"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	os.Exit(m.Run())
}

// TestOracleLedger applies random command sequences to a ledger and compares
// its decisions with those of the oracle.
func TestOracleLedger(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(1, oracleSteps).Draw(rt, "steps")
		if err := runOracle(seed, disableNone, steps); err != nil {
			rt.Fatalf("seed %d, %d steps: %s", seed, steps, err)
		}
	})
}

// TestOracleLedgerDetectsDisabledChecks disables one check of the ledger at a
// time and verifies that the oracle reports the violation. It guards against an
// oracle that accepts everything.
func TestOracleLedgerDetectsDisabledChecks(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled disabledCheck
	}{
		{name: "target capacity", disabled: disableCapacity},
		{name: "team limit", disabled: disableTeamLimit},
		{name: "one active attempt", disabled: disableSingleAttempt},
		{name: "at most once", disabled: disableAtMostOnce},
		{name: "withdrawn key", disabled: disableKey},
		{name: "not-run outcome", disabled: disableNotRun},
		{name: "leaving target", disabled: disableLeaving},
		{name: "final outcome", disabled: disableFinalOutcome},
		{name: "note order", disabled: disableNoteOrder},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range maxCases {
				if err := runOracle(uint64(seed), tc.disabled, oracleSteps); err != nil {
					t.Logf("detected in case %d: %s", seed+1, err)
					return
				}
			}
			t.Fatalf("not detected in %d cases", maxCases)
		})
	}
}

// FuzzDecodeCommand checks that no log record makes DecodeCommand or Apply
// panic.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []Command{
		{Note: &note.Note{Number: 1}},
		{Place: &Place{Groups: []JobPlacements{{Job: 1}}}},
		{Report: &Report{Target: "a"}},
	} {
		data, err := c.Encode()
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err == nil {
			New(DefaultLimits()).Apply(c)
		}
	})
}

// FuzzRestore checks that no snapshot makes Restore panic.
func FuzzRestore(f *testing.F) {
	data, err := New(DefaultLimits()).Snapshot()()
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = New(DefaultLimits()).Restore(data)
	})
}
