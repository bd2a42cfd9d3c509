package peer

import (
	"context"
	"net/rpc"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// controlQueueSize and entriesQueueSize are the maximum numbers of messages queued
	// for one replica. Those without entries are small, and outdated soon.
	controlQueueSize = 1024
	entriesQueueSize = 4096
	// baseLanes is the number of lanes that are kept to a replica, and maxLanes that of
	// the lanes while some are overdue. A loss of 5% holds up a busy lane about half of
	// the time, and four all at once seldom.
	baseLanes = 2
	maxLanes  = 4
	// spareLaneTTL is how long a lane beyond the first baseLanes is kept unused. Losses
	// come in periods of some seconds.
	spareLaneTTL = 30 * time.Second
	// stepTimeout is how long calls may be in flight without any reply before the
	// connection is reset.
	stepTimeout = time.Second

	// A call is overdue after overdueRoundTrips smoothed round trips, within these
	// bounds, and the time that its entries take at assumedRate. The upper bound is a
	// retransmission timeout, after which the first connection delivers by itself.
	overdueRoundTrips = 4
	minOverdue        = 30 * time.Millisecond
	maxOverdue        = 200 * time.Millisecond
	initialRoundTrip  = 15 * time.Millisecond
	// risingWeight and fallingWeight are the reciprocals of the weights of a sample above
	// and below the smoothed round trip time.
	risingWeight  = 32
	fallingWeight = 4
	// assumedRate is the rate, in bytes per millisecond, at which a link is assumed to
	// carry entries.
	assumedRate = 1000

	// maxAttempts is how many times a message is sent at most.
	maxAttempts = 4
	// Entries that are sent again use up an allowance. It grows by one byte for each
	// resendDivisor bytes sent for the first time, up to maxResendBytes.
	resendDivisor  = 2
	maxResendBytes = 256 << 10
	// maxUnanswered is the size in bytes of the entries in flight at which no more are
	// sent, so that they do not fill the buffers of a slow link and delay what goes
	// over the other lanes.
	maxUnanswered = 256 << 10
)

// class distinguishes messages without entries, such as heartbeats, from those with entries.
// They go over separate lanes, so that entries do not delay heartbeats.
type class int

const (
	classControl class = iota
	classEntries
	classCount
)

func classOf(m raft.Message) class {
	if len(m.Entries) > 0 {
		return classEntries
	}
	return classControl
}

// link sends messages to one replica over a few ordered connections, its lanes. While
// none is overdue, messages without entries use the first lane and entries the second.
// A lost packet holds up everything behind it on its connection for a retransmission
// timeout. So a lane whose oldest call is overdue is set aside until it has replied to
// everything, and its unanswered messages are sent again, in order, over another one.
type link struct {
	transport *RaftTransport
	address   string
	queues    [classCount]chan raft.Message
	stop      context.CancelFunc

	// The fields below belong to the goroutine of run.

	lanes []*lane
	// current is the lane of each class.
	current   [classCount]*lane
	roundTrip [classCount]time.Duration
	// replies has room for all calls that can be in flight.
	replies chan *rpc.Call
	// unanswered is the size of the entries in flight that were not sent again.
	unanswered int
	// allowance is the size of the entries that may be sent again.
	allowance int
}

func newLink(t *RaftTransport, address string, stop context.CancelFunc) *link {
	l := &link{
		transport: t,
		address:   address,
		stop:      stop,
		replies:   make(chan *rpc.Call, maxLanes*maxInFlight),
		allowance: maxResendBytes,
	}
	l.queues[classControl] = make(chan raft.Message, controlQueueSize)
	l.queues[classEntries] = make(chan raft.Message, entriesQueueSize)
	for c := range l.roundTrip {
		l.roundTrip[c] = initialRoundTrip
	}
	return l
}

// enqueue queues the message, or drops it if the queue is full.
func (l *link) enqueue(m raft.Message) {
	select {
	case l.queues[classOf(m)] <- m:
	default:
	}
}

// run sends the queued messages until the context ends.
func (l *link) run(ctx context.Context) {
	for len(l.lanes) < baseLanes {
		l.openLane(ctx)
	}
	l.current = [classCount]*lane{l.lanes[0], l.lanes[1]}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(l.nextCheck(time.Now()))
		select {
		case <-ctx.Done():
			for _, lane := range l.lanes {
				lane.client.Close()
			}
			return
		case <-timer.C:
			l.check(ctx, time.Now())
		case call := <-l.replies:
			l.onReply(call, time.Now())
		case m := <-l.openQueue(classControl):
			l.send(m, classControl)
		case m := <-l.openQueue(classEntries):
			l.send(m, classEntries)
		}
	}
}

// openLane adds a lane and establishes its connection.
func (l *link) openLane(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	opened := &lane{
		client: l.transport.dialer.NewOrderedClient(l.address),
		work:   make(chan *step, maxInFlight),
		stop:   stop,
	}
	l.lanes = append(l.lanes, opened)
	l.transport.wg.Go(func() { opened.run(ctx, l.replies) })
	l.prove(opened)
}

// prove sends an empty batch over the lane, which establishes its connection before it
// is needed and shows that it delivers. The batch is never sent again.
func (l *link) prove(lane *lane) {
	if len(lane.steps) == 0 {
		lane.start(l.newStep(nil, classControl, 0, maxAttempts), time.Now())
	}
}

func (l *link) newStep(messages []raft.Message, c class, bytes, attempts int) *step {
	return &step{
		args: &StepArgs{
			Cell:     l.transport.cell,
			Messages: messages,
		},
		class:    c,
		bytes:    bytes,
		attempts: attempts,
	}
}

// openQueue returns the queue of the class, or nil if no more can be sent now.
func (l *link) openQueue(c class) chan raft.Message {
	if !l.choose(c).hasRoom() || c == classEntries && l.unanswered >= maxUnanswered {
		return nil
	}
	return l.queues[c]
}

// choose returns the lane for new messages of the class. Entries stay on their lane
// while it is not set aside, so that they arrive in order. Messages without entries
// also avoid the lane of the entries.
func (l *link) choose(c class) *lane {
	current := l.current[c]
	shared := c == classControl && current == l.current[classEntries]
	if !current.aside && current.hasRoom() && !shared {
		return current
	}
	best := current
	for _, lane := range l.lanes {
		if lane.usable() && (!best.usable() || best == l.current[1-c]) {
			best = lane
		}
	}
	l.current[c] = best
	return best
}

// send sends a batch of queued messages that begins with first.
func (l *link) send(first raft.Message, c class) {
	messages, bytes := collectBatch(first, l.queues[c])
	l.unanswered += bytes
	l.allowance = min(l.allowance+bytes/resendDivisor, maxResendBytes)
	l.choose(c).start(l.newStep(messages, c, bytes, 1), time.Now())
}

// onReply handles a call that has completed or failed.
func (l *link) onReply(call *rpc.Call, now time.Time) {
	for _, lane := range l.lanes {
		s := lane.find(call.Args)
		if s == nil {
			continue
		}
		var remote rpc.ServerError
		switch {
		case call.Error == nil || errors.As(call.Error, &remote):
			l.recordRoundTrip(lane, s, now)
			lane.proven = true
			lane.lastReply = now
		case errors.Is(call.Error, ErrUnsendable):
		default:
			// The calls of a broken connection fail in any order, so the first
			// failure has all of them sent again.
			if s.generation == lane.generation {
				lane.reset()
			}
			l.resend(lane)
		}
		lane.remove(s)
		if !s.moved {
			l.unanswered -= s.bytes
		}
		l.resendAside()
		return
	}
}

// recordRoundTrip adds a sample to the smoothed round trip time. A sample counts only up
// to twice that time and less if it is above, so that the time stays near that of calls
// that were not held up, also while half of them are, and still follows a link that has
// become slower.
func (l *link) recordRoundTrip(lane *lane, s *step, now time.Time) {
	if !lane.proven {
		return
	}
	average := &l.roundTrip[s.class]
	sample := min(now.Sub(s.sent), 2**average)
	if sample > *average {
		*average += (sample - *average) / risingWeight
		return
	}
	*average += (sample - *average) / fallingWeight
}

// limit returns after how long without a reply the step is overdue.
func (l *link) limit(s *step) time.Duration {
	limit := min(max(overdueRoundTrips*l.roundTrip[s.class], minOverdue), maxOverdue)
	return limit + time.Duration(s.bytes/assumedRate)*time.Millisecond
}
