package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jasmineward/jasmineward/pkg/lease"
)

var terms = lease.Terms{
	TTL:    time.Second,
	Margin: 100 * time.Millisecond,
}

// fixedSeed makes every run of the tests try the same cases.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	os.Exit(m.Run())
}

// TestHolderEndsFirst has requests and answers take any time, and either
// side's clock run up to a tenth of the margin's part fast or slow: the
// holder's lease has always ended when the granter says so.
func TestHolderEndsFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		epoch := time.Unix(1000, 0)
		drift := rapid.Float64Range(0.96, 1.04).Draw(rt, "drift")
		holderClock := func(real time.Duration) time.Time {
			return epoch.Add(time.Duration(float64(real) * drift))
		}
		var holder lease.Holder
		granter := lease.NewGranter[string](terms)
		real := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(rt, "polls") {
			sent := real
			real += time.Duration(rapid.IntRange(0, 900).Draw(rt, "there")) * time.Millisecond
			granter.Grant("t", epoch.Add(real))
			real += time.Duration(rapid.IntRange(0, 900).Draw(rt, "back")) * time.Millisecond
			if rapid.Bool().Draw(rt, "arrives") {
				holder.Extend(holderClock(sent), terms.TTL)
			}
		}
		end, _ := granter.End("t")
		if holder.Live(holderClock(end.Sub(epoch))) {
			rt.Fatalf("lease is live at the granter's end")
		}
	})
}

// TestLeaseInTime lets time pass for real goroutines.
func TestLeaseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var holder lease.Holder
		granter := lease.NewGranter[string](terms)
		granter.Grant("t", time.Now())
		holder.Extend(time.Now(), terms.TTL)
		time.Sleep(terms.TTL)
		qt.Assert(t, holder.Live(time.Now()), qt.IsFalse)
		ended := 0
		granter.Ended(time.Now(), func(string) { ended++ })
		qt.Assert(t, ended, qt.Equals, 0)
		time.Sleep(terms.Margin)
		granter.Ended(time.Now(), func(string) { ended++ })
		qt.Assert(t, ended, qt.Equals, 1)
	})
}

// TestLateAnswer sees that an answer out of order never shortens a lease.
func TestLateAnswer(t *testing.T) {
	var holder lease.Holder
	now := time.Unix(1000, 0)
	holder.Extend(now.Add(time.Second), time.Second)
	holder.Extend(now, time.Second)
	qt.Assert(t, holder.Live(now.Add(1500*time.Millisecond)), qt.IsTrue)
	holder.Drop()
	qt.Assert(t, holder.Live(now), qt.IsFalse)
}

func ExampleHolder() {
	var holder lease.Holder
	sent := time.Unix(1000, 0)
	holder.Extend(sent, 6*time.Second)
	fmt.Println(holder.Live(sent.Add(5*time.Second)), holder.Live(sent.Add(6*time.Second)))
	// Output: true false
}
