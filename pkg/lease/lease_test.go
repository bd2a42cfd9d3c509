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

var config = lease.Config{
	TTL:    time.Second,
	Margin: 100 * time.Millisecond,
}

// fixedSeed makes the property tests generate the same cases in every run.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	os.Exit(m.Run())
}

// TestHolderExpiresBeforeGranter checks that the holder's lease has expired by
// the time the granter considers it expired, for arbitrary request and response
// delays and for a holder clock that runs up to 4% fast or slow, which is within
// the margin of 10% of the TTL.
func TestHolderExpiresBeforeGranter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		epoch := time.Unix(1000, 0)
		drift := rapid.Float64Range(0.96, 1.04).Draw(rt, "drift")
		holderClock := func(elapsed time.Duration) time.Time {
			return epoch.Add(time.Duration(float64(elapsed) * drift))
		}
		var holder lease.Holder
		granter := lease.NewGranter[string](config)
		elapsed := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			sent := elapsed
			elapsed += time.Duration(rapid.IntRange(0, 900).Draw(rt, "request delay")) * time.Millisecond
			granter.Grant("t", epoch.Add(elapsed))
			elapsed += time.Duration(rapid.IntRange(0, 900).Draw(rt, "response delay")) * time.Millisecond
			if rapid.Bool().Draw(rt, "response arrives") {
				holder.Extend(holderClock(sent), config.TTL)
			}
		}
		expiry, _ := granter.Expiry("t")
		if holder.IsValid(holderClock(expiry.Sub(epoch))) {
			rt.Fatalf("the holder's lease is still valid when it expires at the granter")
		}
	})
}

// TestExpiryAfterMargin checks that the lease expires at the holder after the
// TTL, and at the granter only after the margin as well.
func TestExpiryAfterMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var holder lease.Holder
		granter := lease.NewGranter[string](config)
		granter.Grant("t", time.Now())
		holder.Extend(time.Now(), config.TTL)
		time.Sleep(config.TTL)
		qt.Assert(t, holder.IsValid(time.Now()), qt.IsFalse)
		expired := 0
		granter.EachExpired(time.Now(), func(string) { expired++ })
		qt.Assert(t, expired, qt.Equals, 0)
		time.Sleep(config.Margin)
		granter.EachExpired(time.Now(), func(string) { expired++ })
		qt.Assert(t, expired, qt.Equals, 1)
	})
}

// TestOutOfOrderResponse checks that a response to an older request does not
// shorten the lease.
func TestOutOfOrderResponse(t *testing.T) {
	var holder lease.Holder
	now := time.Unix(1000, 0)
	holder.Extend(now.Add(time.Second), time.Second)
	holder.Extend(now, time.Second)
	qt.Assert(t, holder.IsValid(now.Add(1500*time.Millisecond)), qt.IsTrue)
	holder.Release()
	qt.Assert(t, holder.IsValid(now), qt.IsFalse)
}

func ExampleHolder() {
	var holder lease.Holder
	sent := time.Unix(1000, 0)
	holder.Extend(sent, 6*time.Second)
	fmt.Println(holder.IsValid(sent.Add(5*time.Second)), holder.IsValid(sent.Add(6*time.Second)))
	// Output: true false
}
