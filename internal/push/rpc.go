package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/boot"
)

const (
	rpcServiceName  = "Sched"
	methodSubmit    = rpcServiceName + ".Submit"
	methodState     = rpcServiceName + ".State"
	methodRefuse    = rpcServiceName + ".Refuse"
	methodCancel    = rpcServiceName + ".Cancel"
	methodPending   = rpcServiceName + ".Pending"
	methodConfigure = rpcServiceName + ".Configure"
	methodConfig    = rpcServiceName + ".Config"
	methodBeat      = rpcServiceName + ".Beat"
	methodLeave     = rpcServiceName + ".Leave"
	methodAdvise    = rpcServiceName + ".Advise"
	methodRecall    = rpcServiceName + ".RecallAdvice"
	methodOrder     = rpcServiceName + ".Order"
	methodEvacuate  = rpcServiceName + ".Evacuate"

	// serveTimeout bounds the handling of one call.
	serveTimeout = 5 * time.Second
)

// JobQuery identifies a queue, or one of its jobs.
type JobQuery struct {
	Address graph.Address
	ID      graph.JobID
}

// Answer is the reply to a call on a queue.
type Answer struct {
	Refusal graph.Refusal
	State   graph.State
	Pending int
	// RetryAfter is the delay after which a refused submission may be retried.
	RetryAfter time.Duration
}

// AdviseArgs are the arguments of Advise.
type AdviseArgs struct {
	Step    graph.TaskRef
	Targets []string
	// Limit is the timeout of the call to the advisor.
	Limit time.Duration
}

// Empty is an empty argument or reply.
type Empty struct{}

// rpcService implements the RPC methods that instances call on each other.
type rpcService struct {
	scheduler *Scheduler
}

// serveAsLeader handles a call on the leader. On any other instance it replies
// with a fault.
func serveAsLeader[V any](s *Scheduler, reply *wire.Reply[V], handle func(context.Context, *leader) (V, *wire.Fault)) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	l, fault := s.confirmedLeader(ctx)
	if fault == nil {
		reply.Value, fault = handle(ctx, l)
	}
	reply.Fault = fault
	return nil
}

// Submit admits a job. While too many submissions are being handled it replies with a
// fault, after which the call is made again.
func (c *rpcService) Submit(args *graph.Submit, reply *wire.Reply[Answer]) error {
	footprint := args.Spec.Footprint()
	if !c.scheduler.calls.acquire(footprint) {
		reply.Fault = wire.NewFault(wire.CodeUnavailable, "too many submissions are being handled")
		return nil
	}
	defer c.scheduler.calls.release(footprint)
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (Answer, *wire.Fault) {
		return l.submit(ctx, args)
	})
}

// State returns the state of a job.
func (c *rpcService) State(args *JobQuery, reply *wire.Reply[Answer]) error {
	return serveAsLeader(c.scheduler, reply, func(context.Context, *leader) (Answer, *wire.Fault) {
		state, refusal := c.scheduler.ledger.StateOf(args.Address, args.ID)
		return Answer{
			Refusal: refusal,
			State:   state,
		}, nil
	})
}

// Refuse records that a submission was refused by the instance that received it, so that
// no other attempt of it is admitted for a while. The answer is RefusedNoJob if that is so.
func (c *rpcService) Refuse(args *JobQuery, reply *wire.Reply[Answer]) error {
	return serveAsLeader(c.scheduler, reply, func(_ context.Context, l *leader) (Answer, *wire.Fault) {
		return l.refuse(args), nil
	})
}

// Pending counts the jobs of a queue that have not started.
func (c *rpcService) Pending(args *JobQuery, reply *wire.Reply[Answer]) error {
	return serveAsLeader(c.scheduler, reply, func(context.Context, *leader) (Answer, *wire.Fault) {
		pending, refusal := c.scheduler.ledger.PendingOf(args.Address)
		return Answer{
			Refusal: refusal,
			Pending: pending,
		}, nil
	})
}

// Cancel cancels a job.
func (c *rpcService) Cancel(args *JobQuery, reply *wire.Reply[Answer]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (Answer, *wire.Fault) {
		return l.cancelJob(ctx, args)
	})
}

// Configure commits a configuration.
func (c *rpcService) Configure(args *graph.Config, reply *wire.Reply[Empty]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (Empty, *wire.Fault) {
		return Empty{}, l.configure(ctx, args)
	})
}

// Config returns the configuration in force. Its version is zero if there is
// none.
func (c *rpcService) Config(_ *Empty, reply *wire.Reply[graph.Config]) error {
	return serveAsLeader(c.scheduler, reply, func(context.Context, *leader) (graph.Config, *wire.Fault) {
		config := c.scheduler.ledger.Config()
		if config == nil {
			return graph.Config{}, nil
		}
		return *config, nil
	})
}

// Beat processes a heartbeat of a target.
func (c *rpcService) Beat(args *Heartbeat, reply *wire.Reply[Empty]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (Empty, *wire.Fault) {
		return Empty{}, l.handleHeartbeat(ctx, args)
	})
}

// Leave ends an incarnation whose target has left.
func (c *rpcService) Leave(args *graph.TargetID, reply *wire.Reply[Empty]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (Empty, *wire.Fault) {
		return Empty{}, l.handleLeave(ctx, *args)
	})
}

// Advise calls the advisor on behalf of the leader.
func (c *rpcService) Advise(args *AdviseArgs, reply *wire.Reply[Advice]) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	advice, err := c.scheduler.advise(ctx, args.Step, args.Targets)
	if err != nil {
		reply.Fault = wire.NewFault(wire.CodeBusy, err.Error())
		return nil
	}
	reply.Value = advice
	return nil
}

// RecallAdvice returns the advisor's latest answers to calls of this instance.
func (c *rpcService) RecallAdvice(_ *Empty, reply *wire.Reply[[]RecalledAnswer]) error {
	reply.Value = c.scheduler.answers.list(c.scheduler.cell.Clock().Reading, maxRecallBytes)
	return nil
}

// Order sends an order to a target on behalf of the leader, unless the leader has given it
// up.
func (c *rpcService) Order(args *OrderArgs, reply *wire.Reply[OrderReply]) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	now := c.scheduler.cell.Clock()
	if isOverdue(args.SendBy, now) {
		c.scheduler.dropOverdue(args, now)
		reply.Value.setErr(errors.Wrap(ErrNoAnswer, "reached the relay too late"))
		return nil
	}
	if args.SendBy.Process != 0 {
		ctx = boot.WithDeadline(ctx, args.SendBy.Reading)
	}
	value, err := dispatchOrder(ctx, c.scheduler.targets, args)
	value.setErr(err)
	reply.Value = value
	return nil
}

// Submit submits a job to the leader.
func (s *Scheduler) Submit(ctx context.Context, submit *graph.Submit) (Answer, *wire.Fault) {
	return group.CallLeader(ctx, s.host, methodSubmit, submit, (&rpcService{scheduler: s}).Submit)
}

// State returns the state of a job, as known by the leader.
func (s *Scheduler) State(ctx context.Context, q *JobQuery) (Answer, *wire.Fault) {
	return group.CallLeader(ctx, s.host, methodState, q, (&rpcService{scheduler: s}).State)
}

// Refuse reports whether the leader does not know the job, and admits no attempt to submit
// it that is on its way, and when it admits it again.
func (s *Scheduler) Refuse(ctx context.Context, q *JobQuery) (refused bool, retryAfter time.Duration) {
	answer, fault := group.CallLeader(ctx, s.host, methodRefuse, q, (&rpcService{scheduler: s}).Refuse)
	if fault != nil || answer.Refusal != graph.RefusedNoJob {
		return false, 0
	}
	return true, answer.RetryAfter
}

// Pending returns how many jobs of a queue have not started, as known by the
// leader.
func (s *Scheduler) Pending(ctx context.Context, q *JobQuery) (Answer, *wire.Fault) {
	return group.CallLeader(ctx, s.host, methodPending, q, (&rpcService{scheduler: s}).Pending)
}

// Cancel asks the leader to cancel a job.
func (s *Scheduler) Cancel(ctx context.Context, q *JobQuery) (Answer, *wire.Fault) {
	return group.CallLeader(ctx, s.host, methodCancel, q, (&rpcService{scheduler: s}).Cancel)
}

// Configure sends a configuration to the leader.
func (s *Scheduler) Configure(ctx context.Context, c *graph.Config) *wire.Fault {
	_, fault := group.CallLeader(ctx, s.host, methodConfigure, c, (&rpcService{scheduler: s}).Configure)
	return fault
}

// Config returns the configuration in force on the leader. Its version is zero if
// there is none.
func (s *Scheduler) Config(ctx context.Context) (graph.Config, *wire.Fault) {
	return group.CallLeader(ctx, s.host, methodConfig, &Empty{}, (&rpcService{scheduler: s}).Config)
}

// ForwardHeartbeat forwards a heartbeat to the leader.
func (s *Scheduler) ForwardHeartbeat(ctx context.Context, h *Heartbeat) *wire.Fault {
	_, fault := group.CallLeader(ctx, s.host, methodBeat, h, (&rpcService{scheduler: s}).Beat)
	return fault
}

// ForwardLeave forwards the departure of a target to the leader.
func (s *Scheduler) ForwardLeave(ctx context.Context, id graph.TargetID) *wire.Fault {
	_, fault := group.CallLeader(ctx, s.host, methodLeave, &id, (&rpcService{scheduler: s}).Leave)
	return fault
}
