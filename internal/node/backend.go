package node

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Submit hands a job in through the leader.
func (n *Node) Submit(ctx context.Context, args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	c := &calls{node: n}
	n.logRoute("submit", args.Submit.Request)
	return route(ctx, n.router, wire.MethodSubmit, &args, args.Wait, c.Submit)
}

// Wait tells of a job, and waits for its outcome.
func (n *Node) Wait(ctx context.Context, args wire.WaitArgs) (wire.JobReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodWait, &args, args.Wait, c.Wait)
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, args wire.CancelArgs) (wire.JobReply, *wire.Fault) {
	c := &calls{node: n}
	n.logRoute("cancel", args.Request)
	return route(ctx, n.router, wire.MethodCancel, &args, 0, c.Cancel)
}

func (n *Node) logRoute(call string, request ledger.RequestKey) {
	to := n.router.Leader()
	if n.Leading() {
		to = "here"
	}
	n.log.Infof("route: %s request=%s scope=%s leader=%s", call, request.ID, request.Scope, to)
}

// List lists jobs.
func (n *Node) List(ctx context.Context, args wire.ListArgs) (wire.ListReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodList, &args, 0, c.List)
}

// Announce opens a target's session.
func (n *Node) Announce(ctx context.Context, args wire.AnnounceArgs) (wire.PollReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodAnnounce, &args, 0, c.Announce)
}

// Poll renews a target's lease and brings its orders. It is tried for little
// longer than the target would wait, so that the target can turn to another
// instance before its lease ends.
func (n *Node) Poll(ctx context.Context, args wire.PollArgs) (wire.PollReply, *wire.Fault) {
	args.Wait = min(args.Wait, n.cfg.Timing.Lease.TTL/pollParts)
	ctx, cancel := context.WithTimeout(ctx, args.Wait+n.cfg.Timing.Election)
	defer cancel()
	c := &calls{node: n}
	reply, err := attempt(ctx, n.router, wire.MethodPoll, &args, args.Wait, c.Poll)
	if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
		return reply.Value, reply.Fault
	}
	// The time of the first try is lost to the lease, so the next ones do
	// not wait for orders.
	args.Wait = 0
	return route(ctx, n.router, wire.MethodPoll, &args, 0, c.Poll)
}

// Report keeps the events of a target.
func (n *Node) Report(ctx context.Context, args wire.ReportArgs) (wire.ReportReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodReport, &args, 0, c.Report)
}

// Leave has a target get nothing new.
func (n *Node) Leave(ctx context.Context, args wire.LeaveArgs) (wire.LeaveReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodLeave, &args, 0, c.Leave)
}

// ApplyNote applies or checks a release note.
func (n *Node) ApplyNote(ctx context.Context, args wire.NoteArgs) (wire.NoteReply, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodNote, &args, args.Wait, c.Note)
}

// Status tells of the cell.
func (n *Node) Status(ctx context.Context) (wire.Status, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodStatus, &wire.StatusArgs{}, 0, c.Status)
}

// RemoveMember removes a member of the log by its name.
func (n *Node) RemoveMember(ctx context.Context, args wire.MemberArgs) (wire.Joined, *wire.Fault) {
	c := &calls{node: n}
	return route(ctx, n.router, wire.MethodMember, &args, 0, c.Member)
}

// Ready tells whether the balancer should send callers here, and if not why.
func (n *Node) Ready() (bool, string) {
	if n.draining.Load() {
		return false, "draining"
	}
	if err := n.Err(); err != nil {
		return false, err.Error()
	}
	if _, fresh := n.Config(); !fresh {
		return false, "no leader heard from for " + n.cfg.Timing.Fresh.Round(time.Millisecond).String()
	}
	return true, ""
}

// Membership returns the members of the log as this instance knows them.
func (n *Node) Membership() raft.Membership {
	if replica := n.replica.Load(); replica != nil {
		return replica.Status().Membership
	}
	return n.router.Members()
}
