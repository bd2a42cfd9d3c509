package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	maxWait           = 60 * time.Second
	busyRetryAfter    = 100 * time.Millisecond
	defaultRetryAfter = time.Second
	maxListedJobs     = 1000
)

// rpcService implements the RPC methods that other instances call. All but Hello
// are served only by the leader.
type rpcService struct {
	node *Node
}

// activeLeader returns the leader state, or a fault that names the leader if this
// instance does not lead or no longer takes calls.
func (n *Node) activeLeader() (*leader, *wire.Fault) {
	leader := n.leader.Load()
	replica := n.replica.Load()
	if leader == nil || replica == nil || !replica.HoldsLease() || leader.isDraining() {
		return nil, n.notLeaderFault()
	}
	return leader, nil
}

func (n *Node) notLeaderFault() *wire.Fault {
	fault := wire.NewFault(wire.CodeNotLeader, "")
	if member, ok := n.knownLeader(); ok {
		fault.Leader = member.Address
	}
	return fault
}

func (n *Node) knownLeader() (raft.Member, bool) {
	replica := n.replica.Load()
	if replica == nil {
		return raft.Member{}, false
	}
	status := replica.Status()
	if status.Leader == 0 {
		return raft.Member{}, false
	}
	return status.Membership.Find(status.Leader)
}

// faultFor converts an error of the replicated log into a fault.
func (n *Node) faultFor(err error) *wire.Fault {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransfer):
		return n.notLeaderFault()
	case errors.Is(err, raft.ErrBusy):
		fault := wire.NewFault(wire.CodeBusy, "too many commands are waiting")
		fault.RetryAfter = busyRetryAfter
		return fault
	case errors.Is(err, raft.ErrUncertain):
		return wire.NewFault(wire.CodeUncertain, err.Error())
	case errors.Is(err, raft.ErrMembershipChange):
		return wire.NewFault(wire.CodeMembership, err.Error())
	}
	return wire.NewFault(wire.CodeUnavailable, err.Error())
}

// readBarrier waits until the local ledger has applied everything committed so
// far, so that a following read is linearizable.
func (n *Node) readBarrier(ctx context.Context) *wire.Fault {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := n.replica.Load().Read(ctx); err != nil {
		return n.faultFor(err)
	}
	return nil
}

// Hello returns the identity of this instance and the leader that it knows.
func (s *rpcService) Hello(_ *wire.HelloArgs, reply *wire.Reply[wire.HelloReply]) error {
	n := s.node
	reply.Value = wire.HelloReply{
		Name: n.cfg.Name,
		Cell: n.cellName(),
	}
	if replica := n.replica.Load(); replica != nil {
		status := replica.Status()
		reply.Value.ID = status.ID
		reply.Value.Membership = status.Membership
	}
	if member, ok := n.knownLeader(); ok {
		reply.Value.Leader = member.Address
		reply.Value.LeaderName = member.Name
	}
	return nil
}

// Submit admits a job.
func (s *rpcService) Submit(args *wire.SubmitArgs, reply *wire.Reply[wire.JobReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.submit(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) submit(args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	if fault := l.checkAdmission(args.Submit); fault != nil {
		l.node.metrics.JobsRefused.WithLabelValues(string(fault.Code)).Inc()
		return wire.JobReply{}, fault
	}
	value, fault := l.propose(l.ctx, ledger.Command{Submit: &args.Submit})
	if fault != nil {
		return wire.JobReply{}, fault
	}
	result, ok := value.(ledger.SubmitResult)
	if !ok {
		return wire.JobReply{}, wire.NewFault(wire.CodeInternal, "odd result of a submit")
	}
	if result.Refusal != "" {
		fault := submitFault(result)
		l.node.metrics.JobsRefused.WithLabelValues(string(fault.Code)).Inc()
		return wire.JobReply{}, fault
	}
	l.node.metrics.JobsAdmitted.Inc()
	job, fault := l.awaitJob(args.Submit.Request, args.Wait)
	return wire.JobReply{
		Job:       job,
		Duplicate: result.Duplicate,
	}, fault
}

// checkAdmission rejects a job that is not expected to start in time, unless the
// request has been admitted before.
func (l *leader) checkAdmission(s ledger.Submit) *wire.Fault {
	if _, ok := l.node.ledger.JobByRequest(s.Request); ok {
		return nil
	}
	now := time.Now()
	service, ok := l.node.ledger.Config().Services[s.Spec.Service]
	if !ok {
		return nil
	}
	within := time.Duration(service.StartWithin)
	if s.Spec.StartBy != 0 {
		within = time.UnixMilli(int64(s.Spec.StartBy)).Sub(now)
	}
	if within <= 0 {
		return nil
	}
	job := jobOf(&ledger.Job{
		Team:   service.Team,
		Kind:   service.Kind,
		Urgent: service.Urgent,
		Spec:   s.Spec,
	})
	wait := l.engine.EstimateWait(job, now)
	if wait <= within {
		return nil
	}
	fault := wire.NewFault(wire.CodeOverload, "work would not start in time: wait is about "+wait.String())
	fault.RetryAfter = max(wait-within, defaultRetryAfter)
	return fault
}

func submitFault(result ledger.SubmitResult) *wire.Fault {
	codes := map[ledger.Refusal]wire.Code{
		ledger.RefusedIDReused:     wire.CodeRequestIDReused,
		ledger.RefusedIDTooOld:     wire.CodeRequestIDTooOld,
		ledger.RefusedIDInFuture:   wire.CodeBadRequest,
		ledger.RefusedBadID:        wire.CodeBadRequest,
		ledger.RefusedNoService:    wire.CodeNotFound,
		ledger.RefusedInvalidKey:   wire.CodeInvalidKey,
		ledger.RefusedNotPermitted: wire.CodePermission,
		ledger.RefusedInvalidSpec:  wire.CodeBadRequest,
		ledger.RefusedQueueFull:    wire.CodeQueueFull,
		ledger.RefusedTooManyJobs:  wire.CodeBusy,
	}
	fault := wire.NewFault(codes[result.Refusal], string(result.Refusal))
	if result.Detail != "" {
		fault.Detail += ": " + result.Detail
	}
	if fault.Code == wire.CodeQueueFull || fault.Code == wire.CodeBusy {
		fault.RetryAfter = defaultRetryAfter
	}
	return fault
}

// awaitJob returns the job once it is finished, or its current state when the
// wait ends.
func (l *leader) awaitJob(request ledger.RequestKey, wait time.Duration) (*ledger.Job, *wire.Fault) {
	timer := time.NewTimer(min(max(wait, 0), maxWait))
	defer timer.Stop()
	for {
		job, ok := l.node.ledger.JobByRequest(request)
		if !ok {
			return nil, wire.NewFault(wire.CodeNotFound, "no job of this request id is kept")
		}
		if job.IsFinished() || wait <= 0 {
			return job, nil
		}
		jobNotifier := l.acquireJobNotifier(job.ID)
		stop, fault := l.awaitNotification(job.ID, jobNotifier, timer.C)
		if fault != nil {
			return nil, fault
		}
		if stop {
			wait = 0
		}
	}
}

// awaitNotification waits for a notification about the job. It returns true if the
// caller should stop waiting.
func (l *leader) awaitNotification(id ledger.JobID, jobNotifier *notifier, timeout <-chan time.Time) (bool, *wire.Fault) {
	defer l.releaseJobNotifier(id)
	notified := jobNotifier.notified()
	if job, ok := l.node.ledger.Job(id); !ok || job.IsFinished() || l.isDraining() {
		return true, nil
	}
	select {
	case <-notified:
		return l.isDraining(), nil
	case <-timeout:
		return true, nil
	case <-l.ctx.Done():
		return false, l.node.notLeaderFault()
	}
}

func (l *leader) acquireJobNotifier(id ledger.JobID) *notifier {
	var jobNotifier *notifier
	l.jobNotifiers.Update(id, func(n *notifier, found bool) (*notifier, bool) {
		if !found {
			n = newNotifier()
		}
		n.waiters++
		jobNotifier = n
		return n, true
	})
	return jobNotifier
}

func (l *leader) releaseJobNotifier(id ledger.JobID) {
	l.jobNotifiers.Update(id, func(n *notifier, found bool) (*notifier, bool) {
		if !found {
			return nil, false
		}
		n.waiters--
		return n, n.waiters > 0
	})
}

// Wait returns a job, waiting up to args.Wait for its outcome.
func (s *rpcService) Wait(args *wire.WaitArgs, reply *wire.Reply[wire.JobReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		fault = s.node.readBarrier(leader.ctx)
	}
	if fault == nil {
		reply.Value.Job, fault = leader.awaitJob(args.Request, args.Wait)
	}
	reply.Fault = fault
	return nil
}

// Cancel cancels a job and returns its state after the cancellation.
func (s *rpcService) Cancel(args *wire.CancelArgs, reply *wire.Reply[wire.JobReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value.Job, fault = leader.cancelJob(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) cancelJob(args wire.CancelArgs) (*ledger.Job, *wire.Fault) {
	value, fault := l.propose(l.ctx, ledger.Command{Cancel: &ledger.Cancel{Request: args.Request}})
	if fault != nil {
		return nil, fault
	}
	result, ok := value.(ledger.CancelResult)
	if !ok || result.Refusal != "" {
		return nil, wire.NewFault(wire.CodeNotFound, "no job of this request id is kept")
	}
	return result.Job, nil
}

// List returns the jobs of a scope, or of all scopes.
func (s *rpcService) List(args *wire.ListArgs, reply *wire.Reply[wire.ListReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		fault = s.node.readBarrier(leader.ctx)
	}
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	reply.Value.Jobs = s.node.ledger.Jobs(func(j *ledger.Job) bool {
		return (args.Scope == "" || j.Request.Scope == args.Scope) && (!args.LiveOnly || !j.IsFinished())
	}, min(max(args.Limit, 1), maxListedJobs))
	return nil
}

// Note applies a release note, or only validates it.
func (s *rpcService) Note(args *wire.NoteArgs, reply *wire.Reply[wire.NoteReply]) error {
	leader, fault := s.node.activeLeader()
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	if args.DryRun {
		reply.Value, reply.Fault = leader.checkNote(args.Note)
		return nil
	}
	reply.Value, reply.Fault = leader.applyNote(*args)
	return nil
}

func (l *leader) checkNote(n note.Note) (wire.NoteReply, *wire.Fault) {
	if fault := l.node.readBarrier(l.ctx); fault != nil {
		return wire.NoteReply{}, fault
	}
	before := l.node.ledger.Config()
	after, err := before.Apply(n)
	if err != nil {
		return wire.NoteReply{}, noteFault(err, before)
	}
	return wire.NoteReply{
		State: after,
		Diff:  note.Diff(before, after),
	}, nil
}

func (l *leader) applyNote(args wire.NoteArgs) (wire.NoteReply, *wire.Fault) {
	value, fault := l.propose(l.ctx, ledger.Command{Note: &args.Note})
	if fault != nil {
		return wire.NoteReply{}, fault
	}
	result, ok := value.(ledger.NoteResult)
	if !ok {
		return wire.NoteReply{}, wire.NewFault(wire.CodeInternal, "odd result of a note")
	}
	if result.Err != nil {
		return wire.NoteReply{}, noteFault(result.Err, result.State)
	}
	l.node.log.Infof("note: accepted number=%d", args.Note.Number)
	return wire.NoteReply{
		State:   result.State,
		Lagging: l.awaitNote(args.Note.Number, args.Wait),
	}, nil
}

func noteFault(err error, state *note.State) *wire.Fault {
	fault := wire.NewFault(wire.CodeInternal, err.Error())
	fault.NoteInForce = state.Number
	fault.Digest = state.Digest
	var conflict *note.ConflictError
	var gap *note.GapError
	var faults *note.FaultsError
	switch {
	case errors.As(err, &conflict):
		fault.Code = wire.CodeNoteConflict
	case errors.As(err, &gap):
		fault.Code = wire.CodeNoteGap
	case errors.As(err, &faults):
		fault.Code = wire.CodeInvalidNote
		fault.NoteErrors = faults.Faults
	}
	return fault
}
