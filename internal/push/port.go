// Package push is what an instance does while it leads a group whose targets
// are called, rather than polling: it decides, sends orders under a fencing
// token, renews the leases of targets, and reports what ends to the ledger.
package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// Errors of a port.
var (
	// ErrUnanswered: the order may have been carried out, or may yet be.
	ErrUnanswered = errors.New("order was not answered")
	// ErrFenced: the target has seen a higher fencing token.
	ErrFenced = errors.New("fencing token is too old")
	// ErrOtherLifetime: the address belongs to another lifetime now.
	ErrOtherLifetime = errors.New("another lifetime answered")
	// ErrRefused: the target has done nothing, and will not.
	ErrRefused = errors.New("target refused the order")
)

// Clock is a reading of a target's own steady clock.
type Clock time.Duration

// Start orders a run to start.
type Start struct {
	Task    graph.TaskRef
	Run     uint32
	Payload string
	Saved   string
	Ticket  string
	// Deadline is when everything on the target ends, by its clock.
	Deadline Clock
	Token    uint64
}

// Stop orders a run to stop.
type Stop struct {
	Task  graph.TaskRef
	Run   uint32
	Token uint64
}

// Hold renews the target's lease and asks what runs there.
type Hold struct {
	// Deadline is zero where the lease is not to be renewed.
	Deadline Clock
	Token    uint64
	// Acked is the number of the last end that need not be listed again.
	Acked uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Running is a run that goes on.
type Running struct {
	Task  graph.TaskRef
	Run   uint32
	Saved string
	// Percent is how much of its work is done; a lasting task is at work from
	// 100 on.
	Percent float64
	// Load is the tail response time in milliseconds of a task with a
	// latency, and for others the thousandths of a core in use.
	Load int64
}

// Ended is the end of a run.
type Ended struct {
	Seq   uint64
	Task  graph.TaskRef
	Run   uint32
	How   graph.How
	Saved string
}

// Listing is what a target tells of its runs.
type Listing struct {
	Clock   Clock
	Running []Running
	Ended   []Ended
}

// Targets calls targets. Each call returns the target's clock where it
// answered.
type Targets interface {
	Start(ctx context.Context, t *graph.Target, order Start) (Clock, error)
	Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error)
	Hold(ctx context.Context, t *graph.Target, order Hold) (Listing, error)
	Pace(ctx context.Context, t *graph.Target, order Pace) (Clock, error)
	// Forget closes what is open to the lifetime.
	Forget(t *graph.Target)
}

// Pace has a run work at a part of its speed.
type Pace struct {
	Task    graph.TaskRef
	Run     uint32
	Percent int
	Token   uint64
}

// Advice is what the advisor answers.
type Advice struct {
	// Good has a ticket for each target that may run the step.
	Good map[string]string
	// Valid is how long the tickets last.
	Valid time.Duration
}

// Advisor knows which targets may run a step.
type Advisor interface {
	Advise(ctx context.Context, step graph.TaskRef, targets []string) (Advice, error)
}

// Beat is what a target tells of itself from time to time.
type Beat struct {
	Announce graph.Announce
	Clock    Clock
}
