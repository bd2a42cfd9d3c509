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
	maxWait      = 60 * time.Second
	busyRetry    = 100 * time.Millisecond
	defaultRetry = time.Second
	maxList      = 1000
)

// calls are what other instances call on this one. All but Hello are served
// only by the leader.
type calls struct {
	node *Node
}

// leading returns the leader's part, or a fault that names the leader.
func (n *Node) leading() (*leader, *wire.Fault) {
	lead := n.lead.Load()
	replica := n.replica.Load()
	if lead == nil || replica == nil || !replica.LeaseLive() || lead.isReleased() {
		return nil, n.notLeader()
	}
	return lead, nil
}

func (n *Node) notLeader() *wire.Fault {
	fault := wire.Newf(wire.CodeNotLeader, "")
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

// faultOf turns an error of the log into a fault.
func (n *Node) faultOf(err error) *wire.Fault {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeaderChanging):
		return n.notLeader()
	case errors.Is(err, raft.ErrBusy):
		fault := wire.Newf(wire.CodeBusy, "too many commands are waiting")
		fault.RetryAfter = busyRetry
		return fault
	case errors.Is(err, raft.ErrUncertain):
		return wire.Newf(wire.CodeUncertain, err.Error())
	case errors.Is(err, raft.ErrMembership):
		return wire.Newf(wire.CodeMembership, err.Error())
	}
	return wire.Newf(wire.CodeUnavailable, err.Error())
}

// read waits until this leader's ledger holds all that was committed.
func (n *Node) read(ctx context.Context) *wire.Fault {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := n.replica.Load().Read(ctx); err != nil {
		return n.faultOf(err)
	}
	return nil
}

// Hello tells who this instance is.
func (c *calls) Hello(_ *wire.HelloArgs, reply *wire.Reply[wire.Hello]) error {
	n := c.node
	reply.Value = wire.Hello{
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
func (c *calls) Submit(args *wire.SubmitArgs, reply *wire.Reply[wire.JobReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.submit(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) submit(args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	if fault := l.checkAdmission(args.Submit); fault != nil {
		l.node.meter.Refused.WithLabelValues(string(fault.Code)).Inc()
		return wire.JobReply{}, fault
	}
	value, fault := l.propose(l.ctx, ledger.Command{Submit: &args.Submit})
	if fault != nil {
		return wire.JobReply{}, fault
	}
	result, ok := value.(ledger.SubmitResult)
	if !ok {
		return wire.JobReply{}, wire.Newf(wire.CodeInternal, "odd result of a submit")
	}
	if result.Refusal != "" {
		fault := submitFault(result)
		l.node.meter.Refused.WithLabelValues(string(fault.Code)).Inc()
		return wire.JobReply{}, fault
	}
	l.node.meter.Admitted.Inc()
	job, fault := l.await(args.Submit.Request, args.Wait)
	return wire.JobReply{
		Job:   job,
		Again: result.Again,
	}, fault
}

// checkAdmission refuses work early that could not start in time, unless it
// has been admitted before.
func (l *leader) checkAdmission(s ledger.Submit) *wire.Fault {
	if _, ok := l.node.ledger.Request(s.Request); ok {
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
	fault := wire.Newf(wire.CodeOverload, "work would not start in time: wait is about "+wait.String())
	fault.RetryAfter = max(wait-within, defaultRetry)
	return fault
}

func submitFault(result ledger.SubmitResult) *wire.Fault {
	codes := map[ledger.Refusal]wire.Code{
		ledger.RefusedReuse:      wire.CodeReused,
		ledger.RefusedTooOld:     wire.CodeTooOld,
		ledger.RefusedAhead:      wire.CodeBadRequest,
		ledger.RefusedBadID:      wire.CodeBadRequest,
		ledger.RefusedService:    wire.CodeNotFound,
		ledger.RefusedKey:        wire.CodeKey,
		ledger.RefusedPermission: wire.CodePermission,
		ledger.RefusedSpec:       wire.CodeBadRequest,
		ledger.RefusedQueueFull:  wire.CodeQueueFull,
		ledger.RefusedRetained:   wire.CodeBusy,
	}
	fault := wire.Newf(codes[result.Refusal], string(result.Refusal))
	if result.Detail != "" {
		fault.Detail += ": " + result.Detail
	}
	if fault.Code == wire.CodeQueueFull || fault.Code == wire.CodeBusy {
		fault.RetryAfter = defaultRetry
	}
	return fault
}

// await returns the job once it is over, or as it stands when time is up.
func (l *leader) await(request ledger.RequestKey, wait time.Duration) (*ledger.Job, *wire.Fault) {
	timer := time.NewTimer(min(max(wait, 0), maxWait))
	defer timer.Stop()
	for {
		job, ok := l.node.ledger.Request(request)
		if !ok {
			return nil, wire.Newf(wire.CodeNotFound, "no job of this request id is kept")
		}
		if job.Over() || wait <= 0 {
			return job, nil
		}
		done := l.waiter(job.ID)
		ended, fault := l.sleep(job.ID, done, timer.C)
		if fault != nil {
			return nil, fault
		}
		if ended {
			wait = 0
		}
	}
}

// sleep waits for the job's signal. It tells true when no more should be
// waited.
func (l *leader) sleep(id ledger.JobID, done *signal, timeout <-chan time.Time) (bool, *wire.Fault) {
	defer l.unwait(id)
	raised := done.wait()
	if job, ok := l.node.ledger.Job(id); !ok || job.Over() || l.isReleased() {
		return true, nil
	}
	select {
	case <-raised:
		return l.isReleased(), nil
	case <-timeout:
		return true, nil
	case <-l.ctx.Done():
		return false, l.node.notLeader()
	}
}

func (l *leader) waiter(id ledger.JobID) *signal {
	var waiter *signal
	l.waiters.Update(id, func(s *signal, found bool) (*signal, bool) {
		if !found {
			s = newSignal()
		}
		s.waiting++
		waiter = s
		return s, true
	})
	return waiter
}

func (l *leader) unwait(id ledger.JobID) {
	l.waiters.Update(id, func(s *signal, found bool) (*signal, bool) {
		if !found {
			return nil, false
		}
		s.waiting--
		return s, s.waiting > 0
	})
}

// Wait tells of a job, and waits for its outcome.
func (c *calls) Wait(args *wire.WaitArgs, reply *wire.Reply[wire.JobReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		fault = c.node.read(lead.ctx)
	}
	if fault == nil {
		reply.Value.Job, fault = lead.await(args.Request, args.Wait)
	}
	reply.Fault = fault
	return nil
}

// Cancel cancels a job.
func (c *calls) Cancel(args *wire.CancelArgs, reply *wire.Reply[wire.JobReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value.Job, fault = lead.cancelJob(*args)
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
		return nil, wire.Newf(wire.CodeNotFound, "no job of this request id is kept")
	}
	return result.Job, nil
}

// List lists jobs.
func (c *calls) List(args *wire.ListArgs, reply *wire.Reply[wire.ListReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		fault = c.node.read(lead.ctx)
	}
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	reply.Value.Jobs = c.node.ledger.Jobs(func(j *ledger.Job) bool {
		return (args.Scope == "" || j.Request.Scope == args.Scope) && (!args.Live || !j.Over())
	}, min(max(args.Most, 1), maxList))
	return nil
}

// Note applies a release note, or only checks it.
func (c *calls) Note(args *wire.NoteArgs, reply *wire.Reply[wire.NoteReply]) error {
	lead, fault := c.node.leading()
	if fault != nil {
		reply.Fault = fault
		return nil
	}
	if args.Check {
		reply.Value, reply.Fault = lead.checkNote(args.Note)
		return nil
	}
	reply.Value, reply.Fault = lead.applyNote(*args)
	return nil
}

func (l *leader) checkNote(n note.Note) (wire.NoteReply, *wire.Fault) {
	if fault := l.node.read(l.ctx); fault != nil {
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
		return wire.NoteReply{}, wire.Newf(wire.CodeInternal, "odd result of a note")
	}
	if result.Err != nil {
		return wire.NoteReply{}, noteFault(result.Err, result.State)
	}
	l.node.log.Infof("note: accepted number=%d", args.Note.Number)
	return wire.NoteReply{
		State:  result.State,
		Behind: l.awaitInForce(args.Note.Number, args.Wait),
	}, nil
}

func noteFault(err error, state *note.State) *wire.Fault {
	fault := wire.Newf(wire.CodeInternal, err.Error())
	fault.InForce = state.Number
	fault.Digest = state.Digest
	var conflict *note.ConflictError
	var gap *note.GapError
	var faults *note.FaultsError
	switch {
	case errors.As(err, &conflict):
		fault.Code = wire.CodeConflict
	case errors.As(err, &gap):
		fault.Code = wire.CodeGap
	case errors.As(err, &faults):
		fault.Code = wire.CodeFaults
		fault.Notes = faults.Faults
	}
	return fault
}
