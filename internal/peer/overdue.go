package peer

import (
	"context"
	"time"
)

const (
	// asideInterval is the time between two checks while a lane is set aside, and
	// idleInterval while there are lanes to open or to close.
	asideInterval = 10 * time.Millisecond
	idleInterval  = 200 * time.Millisecond
)

// nextCheck returns the time until a call may be overdue or lanes may have to be opened or
// closed.
func (l *link) nextCheck(now time.Time) time.Duration {
	next := time.Hour
	if !l.settled() {
		next = idleInterval
	}
	for _, lane := range l.lanes {
		switch {
		case lane.aside:
			next = min(next, asideInterval)
		case len(lane.steps) > 0:
			due := lane.silentSince().Add(l.limit(lane.steps[0]))
			next = min(next, max(due.Sub(now), time.Millisecond))
		}
	}
	return next
}

// settled reports whether the link has just its first lanes, each with a connection and
// its own class of messages, or none with a connection.
func (l *link) settled() bool {
	proven := 0
	for _, lane := range l.lanes {
		if lane.proven {
			proven++
		}
	}
	return len(l.lanes) == baseLanes && (proven == 0 || proven == baseLanes && l.current == l.preferred())
}

// preferred returns the lanes of the classes while none is overdue.
func (l *link) preferred() [classCount]*lane {
	return [classCount]*lane{l.lanes[0], l.lanes[1]}
}

// check sets lanes aside that are overdue, resets those that have been silent for
// stepTimeout, and closes those that are no longer needed.
func (l *link) check(ctx context.Context, now time.Time) {
	for _, lane := range l.lanes {
		if len(lane.steps) == 0 {
			continue
		}
		silent := now.Sub(lane.silentSince())
		if silent > stepTimeout {
			lane.reset()
			lane.lastReply = now
		}
		if !lane.aside && silent > l.limit(lane.steps[0]) {
			lane.aside = true
		}
		if lane.aside {
			l.openSpares(ctx)
		}
	}
	l.resendAside()
	l.proveLanes(now)
	l.returnToPreferred()
	l.closeSpares(now)
}

// openSpares opens the lanes that are used while others are overdue, at once, because
// the dial of each may be held up too.
func (l *link) openSpares(ctx context.Context) {
	for len(l.lanes) < maxLanes {
		l.openLane(ctx)
	}
}

// proveLanes establishes the connections of lanes that have lost theirs, while others
// show that the replica is there.
func (l *link) proveLanes(now time.Time) {
	reachable := false
	for _, lane := range l.lanes {
		reachable = reachable || lane.proven
	}
	for _, lane := range l.lanes {
		if reachable && !lane.proven && now.Sub(lane.lastUsed) >= idleInterval {
			l.prove(lane)
		}
	}
}

// returnToPreferred moves each class back to its own lane once the lane that it used
// meanwhile has replied to everything.
func (l *link) returnToPreferred() {
	for c, lane := range l.preferred() {
		if len(l.current[c].steps) == 0 && lane.usable() {
			l.current[c] = lane
		}
	}
}

// closeSpares closes the lanes beyond the first that have not been used for a while.
func (l *link) closeSpares(now time.Time) {
	for len(l.lanes) > baseLanes {
		last := l.lanes[len(l.lanes)-1]
		used := len(last.steps) > 0 || now.Sub(last.lastUsed) < spareLaneTTL
		if used || last == l.current[classControl] || last == l.current[classEntries] {
			return
		}
		last.stop()
		l.lanes = l.lanes[:len(l.lanes)-1]
	}
}

// resendAside sends the messages of the lanes that are set aside again.
func (l *link) resendAside() {
	for _, lane := range l.lanes {
		if lane.aside {
			l.resend(lane)
		}
	}
}

// resend sends the unanswered messages of a lane again, in order, over lanes that are
// known to deliver. It leaves messages that find no such lane, or no allowance, for a
// later call.
func (l *link) resend(from *lane) {
	var blocked [classCount]bool
	for _, s := range from.steps {
		if s.moved || blocked[s.class] {
			continue
		}
		if s.attempts >= maxAttempts || len(s.args.Messages) == 0 {
			s.moved = true
			l.unanswered -= s.bytes
			continue
		}
		to := l.choose(s.class)
		if to == from || !to.usable() || s.bytes > l.allowance {
			blocked[s.class] = true
			continue
		}
		s.moved = true
		l.allowance -= s.bytes
		l.transport.resent.Add(uint64(len(s.args.Messages)))
		to.start(l.newStep(s.args.Messages, s.class, s.bytes, s.attempts+1), time.Now())
	}
}
