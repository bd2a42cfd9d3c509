package push

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// A heartbeat may come from another writer, or late from a process that is gone, and nothing
// in it proves otherwise. What it says is taken over if it is of the incarnation that is
// known, from the address that is known. If it names another incarnation or address, the
// process at that address is asked first (verify.go).

// handleHeartbeat processes a heartbeat. It returns without a fault only after
// any change that the heartbeat announces is committed. One for a service that does not
// exist comes from another writer and changes nothing. A target whose heartbeat
// is not answered in time sends it again, so heartbeats that come while a change
// of the target is being committed wait for that instead of proposing it again.
func (l *leader) handleHeartbeat(ctx context.Context, received *Heartbeat) *wire.Fault {
	// The caller sends the same message again if it is not answered in time.
	h := *received
	id := h.Announce.ID
	if reason := l.reasonToIgnore(&h.Announce); reason != "" {
		l.log.WithFields(logrus.Fields{
			"target":  id.ID,
			"born":    id.Incarnation,
			"service": h.Announce.Service,
			"reason":  reason,
		}).Info("target: ignored a heartbeat")
		return nil
	}
	if verified, fault := l.verifySender(ctx, &h.Announce); fault != nil || !verified {
		return fault
	}
	known, ok := l.scheduler.ledger.Target(id)
	late := l.isLateHeartbeat(&h.Announce, known.Seq)
	if late && !h.Announce.Leaving {
		return nil
	}
	for !ok || announcementChanged(&known, &h.Announce) {
		done, first := l.announcing.claim(id)
		if first {
			fault := l.announceOnce(ctx, &h)
			l.announcing.release(id)
			if fault != nil {
				return fault
			}
		} else if !waitFor(ctx, done) {
			return wire.NewFault(wire.CodeUnavailable, "announcement is being committed")
		}
		known, ok = l.scheduler.ledger.Target(id)
		if first {
			break
		}
	}
	if !ok {
		return nil
	}
	if d := l.ensureDriver(known); d != nil {
		d.recordHeartbeat(h.Clock)
		d.recordCold(h.Cold)
		if h.Announce.Leaving && !late {
			d.recordDrain(h.Remaining)
		}
	}
	return nil
}

// reasonToIgnore returns why an announcement changes nothing, whoever has sent it, or an empty
// string.
func (l *leader) reasonToIgnore(a *graph.Announcement) string {
	known, found := l.scheduler.ledger.CurrentTarget(a.ID.ID)
	switch {
	case !l.scheduler.ledger.MayServe(a.ID.ID, a.Service):
		return "unknown service"
	case l.hasLeft(a.ID):
		return "the lifetime has left"
	case found && a.LacksPropertyOf(&known.Announcement):
		return "incomplete"
	}
	return ""
}

// hasLeft reports whether the incarnation has told this leader that it leaves.
func (l *leader) hasLeft(id graph.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leftIncarnations[id]
}

// announceOnce commits the announcement, unless another heartbeat has done so between
// the reading of the ledger and the claim.
func (l *leader) announceOnce(ctx context.Context, h *Heartbeat) *wire.Fault {
	known, ok := l.scheduler.ledger.Target(h.Announce.ID)
	if ok && !announcementChanged(&known, &h.Announce) {
		return nil
	}
	return l.announce(ctx, h)
}

// waitFor waits until the channel is closed. It returns false if the context ends
// first.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// announcementChanged reports whether the announcement differs from the ledger's
// record of the target, and is not older than that.
func announcementChanged(t *graph.Target, a *graph.Announcement) bool {
	if a.Leaving && !t.Leaving {
		return true
	}
	return !a.IsLate(&t.Announcement) && !sameAttributes(&t.Announcement, a)
}

// sameAttributes reports whether two announcements of an incarnation say the same of the
// target, except for whether it is leaving.
func sameAttributes(a, b *graph.Announcement) bool {
	return a.Service == b.Service && a.Capacity == b.Capacity && a.Address == b.Address &&
		a.Machine == b.Machine && a.Domain == b.Domain && a.Rack == b.Rack && slices.Equal(a.Labels, b.Labels)
}

// announce commits the announcement of an incarnation whose sender is verified.
func (l *leader) announce(ctx context.Context, h *Heartbeat) *wire.Fault {
	if _, fault := l.propose(ctx, graph.Command{Target: &h.Announce}); fault != nil {
		return fault
	}
	l.log.WithFields(logrus.Fields{
		"target":  h.Announce.ID.ID,
		"born":    h.Announce.ID.Incarnation,
		"service": h.Announce.Service,
		"address": h.Announce.Address,
		"leaving": h.Announce.Leaving,
	}).Info("target: announced")
	l.wakeDecisionLoop()
	return nil
}

// currentIncarnation returns the incarnation that has the target's address, as far as this
// leader knows. It returns false if it knows none.
func (l *leader) currentIncarnation(id string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation, found := l.currentIncarnations[id]
	return incarnation, found
}

// setCurrentIncarnation records which incarnation has the target's address, and removes the
// drivers of the others. What these know of a process that is over says nothing of this one.
func (l *leader) setCurrentIncarnation(id graph.TargetID) {
	l.mu.Lock()
	l.currentIncarnations[id.ID] = id.Incarnation
	var others []graph.TargetID
	for other := range l.drivers {
		if other.ID == id.ID && other != id {
			others = append(others, other)
		}
	}
	l.mu.Unlock()
	for _, other := range others {
		l.removeDriver(other)
	}
}
