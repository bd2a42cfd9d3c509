package push

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/wire"
)

// modelEvacuateTime is the time after the acknowledgement of an evacuation from which on no task
// is started in the failure domain.
const modelEvacuateTime = 5 * time.Second

// evacuateAtTimes evacuates the failure domain and withdraws that, several times. In the end it
// is withdrawn.
func (m *model) evacuateAtTimes(domain string, random *rand.Rand) {
	until := time.Now().Add(modelTroubleTime)
	for time.Now().Before(until) && m.pause(time.Duration(random.Int64N(int64(4*time.Second)))) {
		span := time.Duration(random.Int64N(int64(2 * modelEvacuateTime)))
		m.note("%s is evacuated for %s", domain, span)
		m.requestEvacuation(domain, false)
		m.set(func() { m.fleet.evacuated[domain] = time.Now() })
		m.pause(span)
		m.note("the evacuation of %s is withdrawn", domain)
		m.set(func() { delete(m.fleet.evacuated, domain) })
		m.requestEvacuation(domain, true)
	}
}

// requestEvacuation sends the request until it is acknowledged.
func (m *model) requestEvacuation(domain string, withdrawn bool) {
	args := &EvacuateArgs{
		Domain:    domain,
		Withdrawn: withdrawn,
	}
	m.retry(func() *wire.Fault {
		var reply wire.Reply[EvacuateReply]
		_ = m.service().Evacuate(args, &reply)
		if !reply.Value.Outdated {
			return reply.Fault
		}
		args.Changes = reply.Value.Changes
		return wire.NewFault(wire.CodeUnavailable, "outdated")
	})
}

// checkEvacuated checks that a start is not in an evacuated failure domain. The lock must be held.
func (f *modelFleet) checkEvacuated(t *modelTarget, order Start) {
	if since, evacuated := f.evacuated[t.domain]; evacuated && time.Since(since) > modelEvacuateTime {
		f.breakRule("EVACUATED: %s starts on %s, %s after the acknowledgement",
			order.Task.RunName(order.Run), t.id, time.Since(since))
	}
}

// Both failure domains are evacuated at times, also at once, among the troubles of TestModel: no
// task is started in one from some time after the acknowledgement until the withdrawal, through
// any change of the leader, and nothing is lost. Tasks that run longer than a moment are moved.
// The relay is in the domain d1.
func TestModelWithEvacuations(t *testing.T) {
	playModels(t, *modelFirst, *modelSeeds, func(m *model) {
		m.evacuates = []string{"d0", "d1"}
		m.fleet.evacuated = map[string]time.Time{}
		m.cell.scheduler.timing.EvacuateWithin = 300 * time.Millisecond
	})
}
