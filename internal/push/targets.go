// Package push implements the leader of a group whose targets are called by the
// leader instead of polling it. The leader makes placement decisions, sends
// orders with a fencing token, renews the leases of targets, and commits the ends
// of runs to the ledger.
package push

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// Errors that the methods of Targets return.
var (
	// ErrNoAnswer means that there was no answer: the order may have been
	// carried out, or may still be.
	ErrNoAnswer = errors.New("order was not answered")
	// ErrDown is an ErrNoAnswer that tells why: no process listens at the target's
	// address.
	ErrDown = errors.Wrap(ErrNoAnswer, "target's process is down")
	// ErrNotSent is an ErrNoAnswer of an order that was not sent, because another
	// instance may lead.
	ErrNotSent = errors.Wrap(ErrNoAnswer, "order was not sent")
	// ErrFenced means that the target has seen a higher fencing token.
	ErrFenced = errors.New("fencing token is too old")
	// ErrOtherIncarnation means that another incarnation of a target has the
	// address now. An order names the target but not its incarnation, so the other
	// one may have carried it out.
	ErrOtherIncarnation = errors.New("another lifetime answered")
	// ErrOtherTarget is an ErrOtherIncarnation of another target, which carries out
	// no order that names this one.
	ErrOtherTarget = errors.Wrap(ErrOtherIncarnation, "another target has the address")
	// ErrRefused means that the target has not carried out the order and will
	// not.
	ErrRefused = errors.New("target refused the order")
)

// RestartedError is an ErrOtherIncarnation that tells which incarnation answered.
type RestartedError struct {
	Incarnation int64
}

// Error returns the error's text.
func (e *RestartedError) Error() string {
	return fmt.Sprintf("%s: %d", ErrOtherIncarnation, e.Incarnation)
}

// Unwrap returns ErrOtherIncarnation.
func (e *RestartedError) Unwrap() error {
	return ErrOtherIncarnation
}

// Clock is a reading of a target's monotonic clock.
type Clock time.Duration

// Start is an order to start a run.
type Start struct {
	Task       graph.TaskRef
	Run        uint32
	Payload    string
	Checkpoint string `cbor:"Saved"`
	Ticket     string
	// Deadline is when the target's lease and with it all its runs end, by its
	// clock.
	Deadline Clock
	Token    uint64
}

// Stop is an order to stop a run.
type Stop struct {
	Task  graph.TaskRef
	Run   uint32
	Token uint64
}

// LeaseRenewal is an order to renew the target's lease and list its runs.
type LeaseRenewal struct {
	// Deadline is the new end of the lease, by the target's clock. Zero does
	// not renew the lease.
	Deadline Clock
	Token    uint64
	// Acked is the number of the last committed end, which need not be listed
	// again. Zero acknowledges none.
	Acked uint64
	// Wait is how long the target may delay the answer to wait for an end.
	Wait time.Duration
}

// ActiveRun is a run in progress.
type ActiveRun struct {
	Task       graph.TaskRef
	Run        uint32
	Checkpoint string `cbor:"Saved"`
	// Percent is the completed part of the work, in percent. A long-running task counts as
	// running normally from 100 on.
	Percent float64
	// Load is the tail response time in milliseconds for a task with a latency
	// target, and the CPU use in thousandths of a core for others.
	Load int64
}

// EndedRun is the end of a run.
type EndedRun struct {
	Seq        uint64
	Task       graph.TaskRef
	Run        uint32
	Outcome    graph.RunOutcome `cbor:"How"`
	Checkpoint string           `cbor:"Saved"`
}

// RunList is the answer to RenewLease: the runs of a target and their ends.
type RunList struct {
	Clock   Clock
	Running []ActiveRun
	Ended   []EndedRun
}

// Targets sends orders to targets. Each order returns the target's clock if the
// target answered.
type Targets interface {
	Start(ctx context.Context, t *graph.Target, order Start) (Clock, error)
	Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error)
	RenewLease(ctx context.Context, t *graph.Target, renewal LeaseRenewal) (RunList, error)
	Pace(ctx context.Context, t *graph.Target, order Pace) (Clock, error)
	// Release releases connections and other resources held for the
	// incarnation.
	Release(t *graph.Target)
}

// Pace is an order to limit a run to a percentage of its speed.
type Pace struct {
	Task    graph.TaskRef
	Run     uint32
	Percent int
	Token   uint64
}

// Advice is an answer of the advisor.
type Advice struct {
	// Good maps each target that may run the step to its ticket.
	Good map[string]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// Advisor determines which targets may run a step.
type Advisor interface {
	Advise(ctx context.Context, step graph.TaskRef, targets []string) (Advice, error)
}

// Heartbeat is a periodic heartbeat of a target.
type Heartbeat struct {
	Announce graph.Announcement
	Clock    Clock
	// Cold is how much longer the target will be slow after its start.
	Cold time.Duration `cbor:",omitempty"`
	// Remaining is how much longer a target that leaves stays at least, or zero if it has not
	// said.
	Remaining time.Duration `cbor:",omitempty"`
}
