package push

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	service         = "Sched"
	methodSubmit    = service + ".Submit"
	methodState     = service + ".State"
	methodCancel    = service + ".Cancel"
	methodPending   = service + ".Pending"
	methodConfigure = service + ".Configure"
	methodConfig    = service + ".Config"
	methodBeat      = service + ".Beat"
	methodLeave     = service + ".Leave"
	methodAdvise    = service + ".Advise"
	methodOrder     = service + ".Order"

	// serveTimeout bounds the work on one call.
	serveTimeout = 5 * time.Second
)

// Query asks about a queue or one of its jobs.
type Query struct {
	Address graph.Address
	ID      graph.JobID
}

// Answer answers a call on a queue.
type Answer struct {
	Refusal graph.Refusal
	State   graph.State
	Pending int
	// RetryAfter is when a refused submission may come again.
	RetryAfter time.Duration
}

// AdviseArgs has an instance call the advisor.
type AdviseArgs struct {
	Step    graph.TaskRef
	Targets []string
	Limit   time.Duration
}

// None is an argument or an answer that says nothing.
type None struct{}

// calls is what instances call each other with.
type calls struct {
	part *Part
}

// serve runs a call where this instance leads.
func serve[V any](p *Part, reply *wire.Reply[V], run func(context.Context, *leader) (V, *wire.Fault)) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	l, fault := p.leading(ctx)
	if fault == nil {
		reply.Value, fault = run(ctx, l)
	}
	reply.Fault = fault
	return nil
}

// Submit admits a job.
func (c *calls) Submit(args *graph.Submit, reply *wire.Reply[Answer]) error {
	return serve(c.part, reply, func(ctx context.Context, l *leader) (Answer, *wire.Fault) {
		return l.submit(ctx, args)
	})
}

// State tells how a job stands.
func (c *calls) State(args *Query, reply *wire.Reply[Answer]) error {
	return serve(c.part, reply, func(context.Context, *leader) (Answer, *wire.Fault) {
		state, refusal := c.part.ledger.StateOf(args.Address, args.ID)
		return Answer{
			Refusal: refusal,
			State:   state,
		}, nil
	})
}

// Pending counts the jobs of a queue that have not begun.
func (c *calls) Pending(args *Query, reply *wire.Reply[Answer]) error {
	return serve(c.part, reply, func(context.Context, *leader) (Answer, *wire.Fault) {
		pending, refusal := c.part.ledger.PendingOf(args.Address)
		return Answer{
			Refusal: refusal,
			Pending: pending,
		}, nil
	})
}

// Cancel cancels a job.
func (c *calls) Cancel(args *Query, reply *wire.Reply[Answer]) error {
	return serve(c.part, reply, func(ctx context.Context, l *leader) (Answer, *wire.Fault) {
		return l.cancelJob(ctx, args)
	})
}

// Configure takes a configuration.
func (c *calls) Configure(args *graph.Config, reply *wire.Reply[None]) error {
	return serve(c.part, reply, func(ctx context.Context, l *leader) (None, *wire.Fault) {
		return None{}, l.configure(ctx, args)
	})
}

// Config returns the configuration in force, of version zero when there is
// none.
func (c *calls) Config(_ *None, reply *wire.Reply[graph.Config]) error {
	return serve(c.part, reply, func(context.Context, *leader) (graph.Config, *wire.Fault) {
		config := c.part.ledger.Config()
		if config == nil {
			return graph.Config{}, nil
		}
		return *config, nil
	})
}

// Beat takes a heartbeat.
func (c *calls) Beat(args *Beat, reply *wire.Reply[None]) error {
	return serve(c.part, reply, func(ctx context.Context, l *leader) (None, *wire.Fault) {
		return None{}, l.beat(ctx, args)
	})
}

// Leave takes the last word of a lifetime.
func (c *calls) Leave(args *graph.TargetID, reply *wire.Reply[None]) error {
	return serve(c.part, reply, func(_ context.Context, l *leader) (None, *wire.Fault) {
		return None{}, l.leave(*args)
	})
}

// Advise calls the advisor for the leader.
func (c *calls) Advise(args *AdviseArgs, reply *wire.Reply[Advice]) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	advice, err := c.part.advisor.Advise(ctx, args.Step, args.Targets)
	if err != nil {
		reply.Fault = wire.Newf(wire.CodeBusy, err.Error())
		return nil
	}
	reply.Value = advice
	return nil
}

// Order sends an order of the leader to a target.
func (c *calls) Order(args *OrderArgs, reply *wire.Reply[OrderReply]) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	value, err := carryOut(ctx, c.part.targets, args)
	value.Outcome = outcomeOf(err)
	if err != nil {
		value.Detail = err.Error()
	}
	reply.Value = value
	return nil
}

// Submit hands a job in.
func (p *Part) Submit(ctx context.Context, s *graph.Submit) (Answer, *wire.Fault) {
	return group.Route(ctx, p.host, methodSubmit, s, (&calls{part: p}).Submit)
}

// State asks how a job stands.
func (p *Part) State(ctx context.Context, q *Query) (Answer, *wire.Fault) {
	return group.Route(ctx, p.host, methodState, q, (&calls{part: p}).State)
}

// Pending asks how many jobs of a queue have not begun.
func (p *Part) Pending(ctx context.Context, q *Query) (Answer, *wire.Fault) {
	return group.Route(ctx, p.host, methodPending, q, (&calls{part: p}).Pending)
}

// Cancel cancels a job.
func (p *Part) Cancel(ctx context.Context, q *Query) (Answer, *wire.Fault) {
	return group.Route(ctx, p.host, methodCancel, q, (&calls{part: p}).Cancel)
}

// Configure hands a configuration in.
func (p *Part) Configure(ctx context.Context, c *graph.Config) *wire.Fault {
	_, fault := group.Route(ctx, p.host, methodConfigure, c, (&calls{part: p}).Configure)
	return fault
}

// Config asks for the configuration in force.
func (p *Part) Config(ctx context.Context) (graph.Config, *wire.Fault) {
	return group.Route(ctx, p.host, methodConfig, &None{}, (&calls{part: p}).Config)
}

// Beat hands a heartbeat on.
func (p *Part) Beat(ctx context.Context, b *Beat) *wire.Fault {
	_, fault := group.Route(ctx, p.host, methodBeat, b, (&calls{part: p}).Beat)
	return fault
}

// Leave hands the last word of a lifetime on.
func (p *Part) Leave(ctx context.Context, id graph.TargetID) *wire.Fault {
	_, fault := group.Route(ctx, p.host, methodLeave, &id, (&calls{part: p}).Leave)
	return fault
}
