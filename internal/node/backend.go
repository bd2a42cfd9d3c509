package node

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Submit submits a job to the leader and waits up to args.Wait for its outcome.
func (n *Node) Submit(ctx context.Context, args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	service := &rpcService{node: n}
	n.logCall("submit", args.Submit.Request)
	return callLeader(ctx, n.router, wire.MethodSubmit, &args, args.Wait, service.Submit)
}

// Wait returns a job, waiting up to args.Wait for its outcome.
func (n *Node) Wait(ctx context.Context, args wire.WaitArgs) (wire.JobReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodWait, &args, args.Wait, service.Wait)
}

// Cancel cancels a job and returns its state after the cancellation.
func (n *Node) Cancel(ctx context.Context, args wire.CancelArgs) (wire.JobReply, *wire.Fault) {
	service := &rpcService{node: n}
	n.logCall("cancel", args.Request)
	return callLeader(ctx, n.router, wire.MethodCancel, &args, 0, service.Cancel)
}

func (n *Node) logCall(method string, request ledger.RequestKey) {
	destination := n.router.Leader()
	if n.IsLeader() {
		destination = "here"
	}
	n.log.Infof("route: %s request=%s scope=%s leader=%s", method, request.ID, request.Scope, destination)
}

// List returns the jobs of a scope, or of all scopes.
func (n *Node) List(ctx context.Context, args wire.ListArgs) (wire.ListReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodList, &args, 0, service.List)
}

// Announce opens a target's session.
func (n *Node) Announce(ctx context.Context, args wire.AnnounceArgs) (wire.PollReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodAnnounce, &args, 0, service.Announce)
}

// Poll renews a target's lease and returns its orders. It gives up shortly after
// the wait that the target asked for, so that the target can try another
// instance before its lease expires.
func (n *Node) Poll(ctx context.Context, args wire.PollArgs) (wire.PollReply, *wire.Fault) {
	args.Wait = min(args.Wait, n.cfg.Timing.Lease.TTL/pollLeaseDivisor)
	ctx, cancel := context.WithTimeout(ctx, args.Wait+n.cfg.Timing.Election)
	defer cancel()
	service := &rpcService{node: n}
	reply, err := callLeaderOnce(ctx, n.router, wire.MethodPoll, &args, args.Wait, service.Poll)
	if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
		return reply.Value, reply.Fault
	}
	// The first try has used up part of the lease, so retries return without
	// waiting for orders.
	args.Wait = 0
	return callLeader(ctx, n.router, wire.MethodPoll, &args, 0, service.Poll)
}

// Report durably records events reported by a target.
func (n *Node) Report(ctx context.Context, args wire.ReportArgs) (wire.ReportReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodReport, &args, 0, service.Report)
}

// Leave stops new work from being placed on a target.
func (n *Node) Leave(ctx context.Context, args wire.LeaveArgs) (wire.LeaveReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodLeave, &args, 0, service.Leave)
}

// ApplyNote applies a release note, or only validates it.
func (n *Node) ApplyNote(ctx context.Context, args wire.NoteArgs) (wire.NoteReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodNote, &args, args.Wait, service.Note)
}

// Status returns the state of the cell.
func (n *Node) Status(ctx context.Context) (wire.Status, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodStatus, &wire.StatusArgs{}, 0, service.Status)
}

// RemoveMember removes the named member from the replicated log.
func (n *Node) RemoveMember(ctx context.Context, args wire.MemberArgs) (wire.MembershipReply, *wire.Fault) {
	service := &rpcService{node: n}
	return callLeader(ctx, n.router, wire.MethodMember, &args, 0, service.Member)
}

// Ready reports whether the load balancer should send traffic to this instance,
// and if not, why.
func (n *Node) Ready() (bool, string) {
	if n.draining.Load() {
		return false, "draining"
	}
	if err := n.Err(); err != nil {
		return false, err.Error()
	}
	if _, fresh := n.Config(); !fresh {
		return false, "no leader heard from for " + n.cfg.Timing.MaxConfigAge.Round(time.Millisecond).String()
	}
	return true, ""
}

// Membership returns the members of the replicated log as known to this
// instance.
func (n *Node) Membership() raft.Membership {
	if replica := n.replica.Load(); replica != nil {
		return replica.Status().Membership
	}
	return n.router.Membership()
}
