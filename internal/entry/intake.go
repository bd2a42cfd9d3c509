package entry

import (
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/intake"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	// Each listener may use 1/intakeDivisor of the runtime's memory limit for bodies,
	// or defaultIntake where there is none.
	intakeDivisor = 8
	defaultIntake = 32 << 20
	// A budget holds at least minBodies of the largest bodies, and each of its parts
	// largestRequest, which is what a request with such a body and its decoded form
	// needs.
	minBodies      = 12
	largestRequest = 8
	// busyRetry is what a client is asked to wait when there is no room for its body.
	busyRetry = time.Second
)

// Intake bounds the memory that the bodies of requests take on the listeners of an
// instance. Each listener has a budget of its own, so that callers do not shut out
// targets and operators.
type Intake struct {
	gates   map[string]*intake.Gate
	monitor *intake.Monitor
}

// NewIntake returns an Intake with the limits.
func NewIntake(limits Limits, log *logrus.Logger) *Intake {
	total := limits.IntakeBytes
	if total == 0 {
		total = defaultIntake
		if memory := debug.SetMemoryLimit(-1); memory != math.MaxInt64 {
			total = memory / intakeDivisor
		}
		total = max(total, minBodies*limits.MaxBodyBytes)
	}
	budget := intake.NewBudget(total, largestRequest*limits.MaxBodyBytes)
	if limits.AddressPercent > 0 {
		budget.AddressBytes = total / 100 * limits.AddressPercent
	}
	if limits.KeyPercent > 0 {
		budget.KeyBytes = total / 100 * limits.KeyPercent
	}
	in := &Intake{gates: map[string]*intake.Gate{}}
	var gates []*intake.Gate
	for _, listener := range []string{"callers", "targets", "operators"} {
		gate := intake.NewGate(listener, budget)
		in.gates[listener] = gate
		gates = append(gates, gate)
	}
	in.monitor = intake.NewMonitor(log, gates...)
	return in
}

// Collector returns the metrics of the bodies.
func (in *Intake) Collector() prometheus.Collector {
	return in.monitor
}

// newReader returns the reader of the bodies on a listener.
func (in *Intake) newReader(listener string, limits Limits) *intake.Reader {
	timing := intake.Timing{
		Body:  limits.BodyTimeout,
		Stall: limits.StallTimeout,
	}
	return intake.NewReader(in.gates[listener], in.monitor, timing, limits.MaxBodyBytes, intake.WithCost(intake.JSONCost))
}

// reclaim closes at most n connections of a listener whose bodies have been incomplete
// for the longest time, and returns how many.
func (in *Intake) reclaim(listener string, n int) int {
	gate := in.gates[listener]
	if gate == nil {
		return 0
	}
	return gate.EvictOldest(n, time.Now())
}

// Option changes a handler or listener.
type Option func(*options)

type options struct {
	intake *Intake
}

// WithIntake sets what bounds the bodies of requests. By default a handler has budgets
// of its own, and a listener closes no connection that is in use.
func WithIntake(in *Intake) Option {
	return func(o *options) { o.intake = in }
}

func newOptions(opts []Option) options {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// orDefault returns in, or one with the limits that does not log if in is nil.
func (in *Intake) orDefault(limits Limits) *Intake {
	if in != nil {
		return in
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewIntake(limits, log)
}

// receive receives the body of a request, whose reservation must be released. The key
// is counted for the sender and may be empty.
func (h *baseHandler) receive(w http.ResponseWriter, r *http.Request, key string) (*intake.Body, *wire.Fault) {
	body, refusal := h.reader.Read(w, r, key)
	if refusal == nil {
		return body, nil
	}
	switch refusal.Reason {
	case intake.ReasonTooLarge:
		return nil, wire.NewFault(wire.CodeTooLarge, "body: larger than the limit")
	case intake.ReasonDecoded:
		return nil, wire.NewFault(wire.CodeTooLarge, "body: larger than the limit when decoded")
	case intake.ReasonStalled, intake.ReasonTimeout, intake.ReasonBroken:
		return nil, wire.NewFault(wire.CodeBadRequest, "body: not received whole in time")
	}
	fault := wire.NewFault(wire.CodeBusy, "too many bodies are being received")
	fault.RetryAfter = busyRetry
	return nil, fault
}
