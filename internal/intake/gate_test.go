package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// testBudget has room for 9 MiB of large bodies and 3 MiB of small ones.
func testBudget() Budget {
	return Budget{
		Bytes:        12 * mib,
		LargeBytes:   9 * mib,
		SmallBody:    16 * kib,
		AddressBytes: 6 * mib,
		KeyBytes:     4 * mib,
		CallBytes:    2 * mib,
		EvictAfter:   time.Second,
	}
}

// gateTest opens tickets at a time that the test sets.
type gateTest struct {
	*qt.C
	gate    *Gate
	now     time.Time
	evicted []string
}

func newGateTest(t *testing.T) *gateTest {
	return &gateTest{
		C:    qt.New(t),
		gate: NewGate("test", testBudget()),
		now:  time.Unix(1000, 0),
	}
}

// open opens a ticket and raises it to the bytes.
func (g *gateTest) open(address, key string, bytes int64) (*Ticket, Reason) {
	ticket, reason := g.gate.Open(Client{
		Address: address,
		Key:     key,
	}, g.now, func() { g.evicted = append(g.evicted, address+key) })
	g.Assert(reason, qt.Equals, Reason(""))
	return ticket, ticket.Grow(bytes-requestOverhead, g.now)
}

func (g *gateTest) mustOpen(address, key string, bytes int64) *Ticket {
	g.Helper()
	ticket, reason := g.open(address, key, bytes)
	g.Assert(reason, qt.Equals, Reason(""))
	return ticket
}

// Large bodies that never end must not keep ordinary requests out, of which a balancer
// sends thousands from one address.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	g := newGateTest(t)
	for _, address := range []string{"a", "b", "c"} {
		g.mustOpen(address, "", 3*mib)
	}
	_, reason := g.open("z", "", mib)
	g.Check(reason, qt.Equals, ReasonBudget)
	for range 500 {
		small := g.mustOpen("balancer", "key", 5*kib)
		g.Check(small.Complete(5*kib, 5*kib, g.now), qt.Equals, Reason(""))
	}
	g.Check(g.evicted, qt.HasLen, 0)
}

// One client must not use up what all have.
func TestAddressAndKeyHaveLimits(t *testing.T) {
	g := newGateTest(t)
	g.mustOpen("a", "", 6*mib)
	_, reason := g.open("a", "", mib)
	g.Check(reason, qt.Equals, ReasonAddress)
	g.mustOpen("b", "k", 2*mib)
	_, reason = g.open("c", "k", 3*mib)
	g.Check(reason, qt.Equals, ReasonKey)
	_, reason = g.open("c", "l", mib)
	g.Check(reason, qt.Equals, Reason(""))
}

// The body that has been incomplete for the longest time gives way, but not one that
// has only just started: otherwise each newcomer would close the one before.
func TestOldestIncompleteBodyIsEvicted(t *testing.T) {
	g := newGateTest(t)
	first := g.mustOpen("a", "", 4*mib)
	g.now = g.now.Add(100 * time.Millisecond)
	g.mustOpen("b", "", 4*mib)
	_, reason := g.open("c", "", 4*mib)
	g.Check(reason, qt.Equals, ReasonBudget)
	g.now = g.now.Add(950 * time.Millisecond)
	g.mustOpen("c", "", 4*mib)
	g.Check(g.evicted, qt.DeepEquals, []string{"a"})
	g.Check(first.IsEvicted(), qt.IsTrue)
	g.Check(first.Grow(5*mib, g.now), qt.Equals, ReasonEvicted)
	g.Check(first.Complete(mib, mib, g.now), qt.Equals, ReasonEvicted)
	first.Release()
}

// A client that reaches its own limit closes its own bodies, not those of others.
func TestEvictionStaysWithinTheExceededLimit(t *testing.T) {
	g := newGateTest(t)
	g.mustOpen("other", "", mib)
	g.mustOpen("a", "", 6*mib)
	g.now = g.now.Add(time.Minute)
	g.mustOpen("a", "", mib)
	g.Check(g.evicted, qt.DeepEquals, []string{"a"})
}

// A complete request may have reached the leader, so it is never evicted.
func TestCompleteBodyIsNotEvicted(t *testing.T) {
	g := newGateTest(t)
	for _, address := range []string{"a", "b"} {
		g.Assert(g.mustOpen(address, "", 4*mib).Complete(mib, 4*mib-requestOverhead, g.now), qt.Equals, Reason(""))
	}
	g.now = g.now.Add(time.Minute)
	_, reason := g.open("c", "", 4*mib)
	g.Check(reason, qt.Equals, ReasonBudget)
	g.Check(g.gate.EvictOldest(10, g.now), qt.Equals, 0)
}

// The large bodies in calls to the leader are bounded, as a slow leader keeps them in
// the memory of both processes.
func TestBodiesInCallsAreBounded(t *testing.T) {
	g := newGateTest(t)
	first := g.mustOpen("a", "", mib)
	g.Assert(first.Complete(mib, 2*mib, g.now), qt.Equals, Reason(""))
	g.Assert(g.mustOpen("b", "", mib).Complete(mib, 2*mib, g.now), qt.Equals, Reason(""))
	third := g.mustOpen("c", "", mib)
	g.Check(third.Complete(mib, 2*mib, g.now), qt.Equals, ReasonCalls)
	g.Check(g.mustOpen("d", "", 5*kib).Complete(5*kib, 20*kib, g.now), qt.Equals, Reason(""))
	first.Release()
	g.Check(third.Complete(mib, 2*mib, g.now), qt.Equals, Reason(""))
}

// A body whose decoded form exceeds any budget is refused for good, also where its text
// is small.
func TestDecodedFormIsCounted(t *testing.T) {
	g := newGateTest(t)
	g.Check(g.mustOpen("a", "", kib).Complete(kib, 7*mib, g.now), qt.Equals, ReasonDecoded)
	g.Check(g.mustOpen("b", "k", kib).Complete(kib, 5*mib, g.now), qt.Equals, ReasonDecoded)
	g.Check(g.mustOpen("c", "k", kib).Complete(kib, 3*mib, g.now), qt.Equals, Reason(""))
	g.Check(g.gate.BytesInFlight() > 3*mib, qt.IsTrue)
}

// A process with too many connections closes those with the oldest incomplete bodies,
// also if they are small.
func TestEvictOldest(t *testing.T) {
	g := newGateTest(t)
	for _, address := range []string{"a", "b", "c"} {
		g.mustOpen(address, "", kib)
	}
	g.Check(g.gate.EvictOldest(2, g.now), qt.Equals, 0)
	g.now = g.now.Add(2 * time.Second)
	g.Check(g.gate.EvictOldest(2, g.now), qt.Equals, 2)
	g.Check(g.evicted, qt.DeepEquals, []string{"a", "b"})
}

// The default parts must have room for the largest legal request.
func TestDefaultPartsHoldTheLargestRequest(t *testing.T) {
	c := qt.New(t)
	for _, total := range []int64{12 * mib, 18 * mib, 51 * mib} {
		b := NewBudget(total, 8*mib)
		c.Check(min(b.LargeBytes, b.AddressBytes, b.KeyBytes, b.CallBytes) >= 8*mib, qt.IsTrue)
		c.Check(b.LargeBytes < b.Bytes, qt.IsTrue)
	}
}

// Counts that drift would shut clients out, or let them in without limit.
func TestCountsMatchOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := testBudget()
		gate := NewGate("test", budget)
		now := time.Unix(1000, 0)
		var open []*Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.Bool().Draw(t, "open") {
				client := Client{
					Address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"),
					Key:     rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key"),
				}
				if ticket, reason := gate.Open(client, now, func() {}); reason == "" {
					open = append(open, ticket)
				}
				continue
			}
			ticket := open[rapid.IntRange(0, len(open)-1).Draw(t, "ticket")]
			bytes := int64(rapid.SampledFrom([]int{kib, 20 * kib, mib, 3 * mib}).Draw(t, "bytes"))
			switch {
			case ticket.complete || rapid.IntRange(0, 3).Draw(t, "release") == 0:
				ticket.Release()
				ticket.Release()
				open = remove(open, ticket)
			case rapid.Bool().Draw(t, "grow"):
				ticket.Grow(bytes, now)
			default:
				ticket.Complete(bytes/2, bytes, now)
			}
			checkCounts(t, gate, &budget, open)
		}
		for _, ticket := range open {
			ticket.Release()
		}
		if gate.used != 0 || gate.large != 0 || gate.calls != 0 || gate.receiving.Len() != 0 ||
			len(gate.addresses) != 0 || len(gate.keys) != 0 {
			t.Fatalf("bytes are left: %+v", gate)
		}
	})
}

func remove(tickets []*Ticket, ticket *Ticket) []*Ticket {
	var others []*Ticket
	for _, other := range tickets {
		if other != ticket {
			others = append(others, other)
		}
	}
	return others
}

func checkCounts(t *rapid.T, gate *Gate, budget *Budget, open []*Ticket) {
	var used, large, calls int64
	for _, ticket := range open {
		if ticket.evicted {
			continue
		}
		used += ticket.bytes
		if ticket.large {
			large += ticket.bytes
		}
		if ticket.large && ticket.complete {
			calls += ticket.text
		}
	}
	if gate.used != used || gate.large != large || gate.calls != calls {
		t.Fatalf("used %d, large %d, calls %d, want %d, %d, %d", gate.used, gate.large, gate.calls, used, large, calls)
	}
	if used > budget.Bytes || large > budget.LargeBytes || calls > budget.CallBytes {
		t.Fatalf("over the budget: %d, %d, %d", used, large, calls)
	}
}
