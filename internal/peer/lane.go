package peer

import (
	"context"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// maxInFlight is the maximum number of calls in flight on one lane.
	maxInFlight      = 64
	maxBatchMessages = 512
	// maxBatchBytes is the size in bytes of the entry data at which a batch is
	// complete. Small batches show by their replies that the lane makes progress.
	maxBatchBytes = 64 << 10
)

// step is one call of a lane with a batch of messages.
type step struct {
	args  *StepArgs
	class class
	bytes int
	sent  time.Time
	// attempts is how many times the messages have been sent.
	attempts int
	// generation is that of the lane when the step was started.
	generation int
	// moved is set once the messages have been sent again over another lane or given
	// up.
	moved bool
	// abandoned is set if the step is not to be sent any more.
	abandoned atomic.Bool
}

// lane is one ordered connection to a replica. Its goroutine dials and writes, so that
// a connection that blocks holds up no other lane. All other fields belong to the
// goroutine of the link.
type lane struct {
	client *Client
	work   chan *step
	// steps are the calls without a reply, oldest first.
	steps []*step
	// generation counts the connections of the lane that were closed.
	generation int
	// proven is set while the connection has replied since it was established.
	proven bool
	// aside is set from when the lane was overdue until it has replied to everything.
	aside     bool
	lastReply time.Time
	// lastUsed is when messages were last sent over the lane.
	lastUsed time.Time
	stop     context.CancelFunc
}

// run makes the calls that are handed to the lane. Each is delivered on done exactly
// once, also if it could not be sent.
func (l *lane) run(ctx context.Context, done chan *rpc.Call) {
	defer l.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-l.work:
			err := errors.Wrap(ErrNoReply, "connection was reset")
			if !s.abandoned.Load() {
				err = l.client.Go(ctx, methodStep, s.args, &Empty{}, done)
			}
			if err != nil {
				done <- &rpc.Call{
					ServiceMethod: methodStep,
					Args:          s.args,
					Error:         err,
				}
			}
		}
	}
}

// start hands the step to the goroutine of the lane. The caller has checked hasRoom.
func (l *lane) start(s *step, now time.Time) {
	if len(l.steps) == 0 {
		l.lastReply = now
	}
	s.sent = now
	s.generation = l.generation
	l.lastUsed = now
	l.steps = append(l.steps, s)
	l.work <- s
}

func (l *lane) hasRoom() bool {
	return len(l.steps) < maxInFlight
}

// usable reports whether the lane is known to deliver messages.
func (l *lane) usable() bool {
	return l.proven && !l.aside && l.hasRoom()
}

// find returns the step with the arguments, or nil.
func (l *lane) find(args any) *step {
	at := slices.IndexFunc(l.steps, func(s *step) bool { return any(s.args) == args })
	if at < 0 {
		return nil
	}
	return l.steps[at]
}

// remove removes a step that has completed or failed.
func (l *lane) remove(s *step) {
	at := slices.Index(l.steps, s)
	l.steps = slices.Delete(l.steps, at, at+1)
	if len(l.steps) == 0 {
		l.aside = false
	}
}

// silentSince returns since when the oldest call has been waiting without any reply on
// the lane, which has calls in flight.
func (l *lane) silentSince() time.Time {
	if oldest := l.steps[0].sent; oldest.After(l.lastReply) {
		return oldest
	}
	return l.lastReply
}

// reset closes the connection. Its calls fail, also those that have not been sent yet.
func (l *lane) reset() {
	l.generation++
	l.proven = false
	l.aside = len(l.steps) > 0
	for _, s := range l.steps {
		s.abandoned.Store(true)
	}
	l.client.Reset()
}

// collectBatch returns first and the queued messages that fit one batch, and the
// size of their entries.
func collectBatch(first raft.Message, queue <-chan raft.Message) ([]raft.Message, int) {
	batch := []raft.Message{first}
	bytes := entryBytes(first)
	for len(batch) < maxBatchMessages && bytes < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			bytes += entryBytes(m)
		default:
			return batch, bytes
		}
	}
	return batch, bytes
}

// entryBytes returns the total size of the data in the message's entries.
func entryBytes(m raft.Message) int {
	bytes := 0
	for i := range m.Entries {
		bytes += len(m.Entries[i].Data)
	}
	return bytes
}
