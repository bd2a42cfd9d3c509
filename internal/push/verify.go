package push

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// verifySender reports whether an announcement is of the process that has its address. An
// incarnation or address that differs from what is known is believed only once the process
// at that address has said the same; it replaces the known incarnation then. If that process
// does not answer, verifySender returns a fault, so that the heartbeat is sent again.
func (l *leader) verifySender(ctx context.Context, a *graph.Announcement) (bool, *wire.Fault) {
	if !l.needsVerification(a) {
		return true, nil
	}
	for {
		done, first := l.verifying.claim(a.ID.ID)
		if first {
			break
		}
		if !waitFor(ctx, done) {
			return false, wire.NewFault(wire.CodeUnavailable, "another heartbeat of the target is being verified")
		}
	}
	defer l.verifying.release(a.ID.ID)
	// The heartbeat before may have settled it.
	if !l.needsVerification(a) {
		return true, nil
	}
	return l.verifyByAnswer(ctx, a)
}

// needsVerification reports whether the announcement differs from what is known of the
// target's process. Nothing depends on a target that is not known.
func (l *leader) needsVerification(a *graph.Announcement) bool {
	if known, found := l.scheduler.ledger.CurrentTarget(a.ID.ID); found && known.Address != a.Address {
		return true
	}
	if current, found := l.currentIncarnation(a.ID.ID); found {
		return current != a.ID.Incarnation
	}
	l.setCurrentIncarnation(a.ID)
	return false
}

// verifyByAnswer asks the process at the announced address which incarnation it is.
func (l *leader) verifyByAnswer(ctx context.Context, a *graph.Announcement) (bool, *wire.Fault) {
	answered, err := l.askIncarnation(ctx, a)
	entry := l.log.WithFields(logrus.Fields{
		"target":   a.ID.ID,
		"born":     a.ID.Incarnation,
		"address":  a.Address,
		"answered": answered,
	})
	switch {
	case errors.Is(err, ErrOtherTarget), err == nil && answered != a.ID.Incarnation:
		l.scheduler.metrics.verifications.WithLabelValues(verificationDisproved).Inc()
		entry.Warn("target: ignored a heartbeat, another process has the address")
		return false, nil
	case err != nil:
		l.scheduler.metrics.verifications.WithLabelValues(verificationUnanswered).Inc()
		entry.WithError(err).Warn("target: heartbeat not verified")
		return false, wire.NewFault(wire.CodeBusy, "the address of the target does not answer")
	}
	l.scheduler.metrics.verifications.WithLabelValues(verificationConfirmed).Inc()
	entry.Info("target: heartbeat verified")
	known, found := l.scheduler.ledger.CurrentTarget(a.ID.ID)
	if !found || known.ID == a.ID {
		l.setCurrentIncarnation(a.ID)
		return true, nil
	}
	if fault := l.replaceIncarnation(graph.Target{Announcement: *a}); fault != nil {
		return false, fault
	}
	return true, nil
}

// askIncarnation asks the process at the announced address for its runs, which tells its
// incarnation. The lease is not renewed, and no end acknowledged.
func (l *leader) askIncarnation(ctx context.Context, a *graph.Announcement) (int64, error) {
	current, _ := l.currentIncarnation(a.ID.ID)
	asked := graph.Target{Announcement: *a}
	asked.ID.Incarnation = current
	ctx, cancel := context.WithTimeout(ctx, l.scheduler.timing.CallTimeout)
	defer cancel()
	_, err := l.targets.RenewLease(ctx, &asked, LeaseRenewal{Token: l.token()})
	if err == nil {
		return current, nil
	}
	if errors.Is(err, ErrFenced) {
		l.fence()
	}
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		return restarted.Incarnation, nil
	}
	return 0, err
}
