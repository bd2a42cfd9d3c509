package push

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// mislead shows the leader signs that have more than one explanation, until the time of troubles
// is over: refused connections to a target at work, heartbeats of another writer, processes that
// were born earlier than the one before, and targets that leave behind any of these.
func (m *model) mislead(random *rand.Rand) {
	until := time.Now().Add(modelTroubleTime)
	for time.Now().Before(until) && m.pause(time.Duration(random.Int64N(int64(3*time.Second)))) {
		target := m.fleet.targets[random.IntN(modelTargets)]
		span := 500*time.Millisecond + time.Duration(random.Int64N(int64(6*time.Second)))
		switch random.IntN(4) {
		case 0:
			m.note("connections to %s are refused for %s", target.id, span)
			m.set(func() { target.refuses = true })
			m.pause(span)
			m.set(func() { target.refuses = false })
		case 1:
			m.sendForeign(target, random)
		case 2:
			m.note("%s crashes, and is back after %s, born %s earlier", target.id, span/4, span)
			m.set(func() { target.crash() })
			m.pause(span / 4)
			m.set(func() {
				target.startLife()
				target.born -= span.Milliseconds()
			})
		case 3:
			m.drain(target, span, random.IntN(2) == 0)
		}
	}
}

// sendForeign sends a heartbeat of another writer under the id of the target.
func (m *model) sendForeign(t *modelTarget, random *rand.Rand) {
	var heartbeat *Heartbeat
	m.set(func() { heartbeat = t.heartbeat() })
	heartbeat.Announce.Seq += 1000
	switch random.IntN(4) {
	case 0:
		heartbeat.Announce.ID.Incarnation += 1 + random.Int64N(10_000)
	case 1:
		heartbeat.Announce.ID.Incarnation -= 1 + random.Int64N(10_000)
	case 2:
		heartbeat.Announce.Address = m.fleet.targets[random.IntN(modelTargets)].id
	case 3:
		heartbeat.Announce.ID.Incarnation++
		heartbeat.Announce.Domain = ""
		heartbeat.Announce.Seq = 0
	}
	m.note("another writer reports as %s: %+v", t.id, heartbeat.Announce)
	_ = m.beat(heartbeat)
}

// drain has the target announce for how long it stays, and leave then. Connections to it may be
// refused from shortly before. It ends some seconds later if that is not confirmed.
func (m *model) drain(t *modelTarget, span time.Duration, refuses bool) {
	m.note("%s leaves after %s; connections are refused: %t", t.id, span, refuses)
	var id graph.TargetID
	m.set(func() {
		t.leaving = true
		t.leavesAt = time.Now().Add(span)
		id = graph.TargetID{
			ID:          t.id,
			Incarnation: t.born,
		}
	})
	m.pause(span * 3 / 4)
	m.set(func() { t.refuses = refuses })
	m.pause(span / 4)
	for range 4 {
		if m.leaveOnce(id) {
			break
		}
		m.pause(time.Second)
	}
	m.set(func() {
		t.refuses = false
		if t.born == id.Incarnation {
			t.crash()
		}
	})
	m.pause(time.Second)
	m.set(func() {
		if t.born == id.Incarnation {
			t.startLife()
		}
	})
}

// What tells of the end of a process may have another explanation. Each time that one such sign
// was believed, tasks ran twice.
func TestModelWithMisleadingSigns(t *testing.T) {
	playModels(t, *modelFirst, *modelSeeds, func(m *model) {
		random := rand.New(rand.NewPCG(m.fleet.random.Uint64(), 1))
		m.troubles = append(m.troubles, func() { m.mislead(random) })
	})
}
