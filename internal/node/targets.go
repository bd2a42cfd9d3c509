package node

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

const (
	// pollLeaseDivisor divides the lease TTL to give the maximum wait of a poll,
	// so that a lost poll leaves time for others.
	pollLeaseDivisor   = 3
	announceRetryAfter = 500 * time.Millisecond
)

// Announce opens a target's session. It is refused while an earlier session of the
// target may still be live.
func (s *rpcService) Announce(args *wire.AnnounceArgs, reply *wire.Reply[wire.PollReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.announce(args.Announce)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) announce(a ledger.Announce) (wire.PollReply, *wire.Fault) {
	if fault := l.checkEarlierSession(a); fault != nil {
		return wire.PollReply{}, fault
	}
	value, fault := l.propose(l.ctx, ledger.Command{Announce: &a})
	if fault != nil {
		return wire.PollReply{}, fault
	}
	result, ok := value.(ledger.AnnounceResult)
	if !ok {
		return wire.PollReply{}, wire.NewFault(wire.CodeInternal, "odd result of an announce")
	}
	switch result.Refusal {
	case "":
		return wire.PollReply{TTL: l.granter.Config().TTL}, nil
	case ledger.RefusedSessionActive:
		if fault := l.checkEarlierSession(a); fault != nil {
			return wire.PollReply{}, fault
		}
	}
	return wire.PollReply{}, wire.NewFault(wire.CodeBadRequest, string(result.Refusal))
}

// checkEarlierSession returns a fault that says when to announce again if an
// earlier session of the target may still be live. That session is no longer
// renewed. The check does not go through the log, because many targets may
// announce again at once and repeatedly.
func (l *leader) checkEarlierSession(a ledger.Announce) *wire.Fault {
	target, ok := l.node.ledger.Target(a.Target)
	if !ok || target.Session == a.Session {
		return nil
	}
	key := keyOf(target)
	l.mu.Lock()
	l.supersededSessions[key] = true
	l.mu.Unlock()
	fault := wire.NewFault(wire.CodeSessionLive, "an earlier session of the target may still run work")
	fault.RetryAfter = announceRetryAfter
	if end, ok := l.granter.Expiry(key); ok {
		fault.RetryAfter = max(time.Until(end), announceRetryAfter)
	}
	return fault
}

// renewalRefused reports whether the session may no longer be renewed, because it
// is being ended or the target has asked for a new one.
func (l *leader) renewalRefused(key sessionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.supersededSessions[key] || l.endingSessions[key]
}

// Poll renews a target's lease and returns its orders as soon as there are any.
func (s *rpcService) Poll(args *wire.PollArgs, reply *wire.Reply[wire.PollReply]) error {
	received := time.Now()
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.poll(*args, received)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) poll(args wire.PollArgs, received time.Time) (wire.PollReply, *wire.Fault) {
	key := sessionKey{
		target:  args.Target,
		session: args.Session,
	}
	if _, fault := l.currentSession(key); fault != nil {
		return wire.PollReply{}, fault
	}
	l.granter.Grant(key, received)
	l.node.metrics.Polls.Inc()
	l.recordUsage(args)
	timer := time.NewTimer(min(max(args.Wait, 0), l.granter.Config().TTL/pollLeaseDivisor))
	defer timer.Stop()
	targetNotifier := l.targetNotifier(args.Target)
	for {
		notified := targetNotifier.notified()
		target, fault := l.currentSession(key)
		if fault != nil {
			return wire.PollReply{}, fault
		}
		reply := l.ordersFor(target, args.Attempts)
		if len(reply.Orders) > 0 || l.isDraining() {
			return l.withLease(reply)
		}
		select {
		case <-notified:
		case <-timer.C:
			return l.withLease(reply)
		case <-l.ctx.Done():
			return wire.PollReply{}, l.node.notLeaderFault()
		}
	}
}

// withLease adds the lease to the reply if this replica still holds its leader
// lease, and fails otherwise: a target must never extend its lease based on a
// reply of a deposed leader.
func (l *leader) withLease(reply wire.PollReply) (wire.PollReply, *wire.Fault) {
	if !l.node.replica.Load().HoldsLease() || l.ctx.Err() != nil {
		return wire.PollReply{}, l.node.notLeaderFault()
	}
	reply.TTL = l.granter.Config().TTL
	return reply, nil
}

func (l *leader) currentSession(key sessionKey) (*ledger.Target, *wire.Fault) {
	target, ok := l.node.ledger.Target(key.target)
	if !ok || target.Session != key.session || l.renewalRefused(key) {
		return nil, wire.NewFault(wire.CodeSessionGone, "announce again under a new session")
	}
	return target, nil
}

// ordersFor returns the orders that the target has yet to receive, and the
// reported attempts that are settled.
func (l *leader) ordersFor(target *ledger.Target, statuses []wire.AttemptStatus) wire.PollReply {
	var reply wire.PollReply
	unmatched := make(map[ledger.Attempt]wire.AttemptStatus, len(statuses))
	for _, status := range statuses {
		unmatched[status.Attempt] = status
	}
	for _, attempt := range target.Attempts {
		job, ok := l.node.ledger.Job(attempt.Job)
		if !ok {
			continue
		}
		status, known := unmatched[attempt]
		delete(unmatched, attempt)
		if order, ok := orderFor(job, attempt, status, known); ok {
			reply.Orders = append(reply.Orders, order)
		}
	}
	for _, status := range statuses {
		if _, remains := unmatched[status.Attempt]; remains {
			reply.Settled = append(reply.Settled, status.Attempt)
		}
	}
	return reply
}

func orderFor(job *ledger.Job, attempt ledger.Attempt, status wire.AttemptStatus, known bool) (wire.Order, bool) {
	task := job.Tasks[attempt.Task]
	order := wire.Order{
		Attempt:   attempt,
		Service:   job.Spec.Service,
		Team:      job.Team,
		Resources: job.Spec.Resources,
		Reason:    string(task.StopReason),
	}
	switch {
	case task.StopReason != ledger.ReasonNone:
		order.Kind = wire.OrderStop
		return order, !status.Stopping
	case !known && task.State == ledger.TaskPlaced:
		order.Kind = wire.OrderStart
		if kindOf(job.Kind) == sched.KindGang {
			order.Kind = wire.OrderHold
		}
		order.Payload = job.Spec.Payload
		order.Checkpoint = task.Checkpoint
		order.RunMillis = job.Spec.RunMillis
		return order, true
	case task.State == ledger.TaskHeld && job.Released:
		order.Kind = wire.OrderRelease
		return order, !status.Released
	case task.State == ledger.TaskRunning && !status.Throttled &&
		sched.ActionFor(job.Spec.Resources, status.Used) == sched.ActionThrottle:
		order.Kind = wire.OrderThrottle
		return order, true
	}
	return wire.Order{}, false
}

// recordUsage passes the measured usage of the target's attempts to the engine, and
// stops attempts that use more memory than declared.
func (l *leader) recordUsage(args wire.PollArgs) {
	stop := &ledger.Stop{Reason: ledger.ReasonOversize}
	for _, status := range args.Attempts {
		if status.Used.IsZero() {
			continue
		}
		job, ok := l.node.ledger.Job(status.Attempt.Job)
		if !ok || job.IsFinished() {
			continue
		}
		l.engine.ObserveUsage(job.Team, job.Spec.Service, job.Spec.Resources, status.Used)
		if !status.Stopping && sched.ActionFor(job.Spec.Resources, status.Used) == sched.ActionStop {
			stop.Attempts = append(stop.Attempts, status.Attempt)
		}
	}
	if len(stop.Attempts) > 0 {
		l.node.log.Infof("sched: stopping attempts over their declared size target=%s attempts=%d", args.Target, len(stop.Attempts))
		l.proposeOrLog(ledger.Command{Stop: stop})
	}
}

// Report durably records events reported by a target.
func (s *rpcService) Report(args *wire.ReportArgs, reply *wire.Reply[wire.ReportReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.report(args.Report)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) report(r ledger.Report) (wire.ReportReply, *wire.Fault) {
	value, fault := l.propose(l.ctx, ledger.Command{Report: &r})
	if fault != nil {
		return wire.ReportReply{}, fault
	}
	result, ok := value.(ledger.ReportResult)
	if !ok {
		return wire.ReportReply{}, wire.NewFault(wire.CodeInternal, "odd result of a report")
	}
	if result.Refusal != "" {
		return wire.ReportReply{}, wire.NewFault(wire.CodeSessionGone, "announce again under a new session")
	}
	return wire.ReportReply{StaleEvents: result.StaleEvents}, nil
}

// Leave stops new work from being placed on a target. If args.EndSession is set
// and no work is left, it ends the session.
func (s *rpcService) Leave(args *wire.LeaveArgs, reply *wire.Reply[wire.LeaveReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.leave(*args)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) leave(args wire.LeaveArgs) (wire.LeaveReply, *wire.Fault) {
	value, fault := l.propose(l.ctx, ledger.Command{Leave: &ledger.Leave{
		Target:  args.Target,
		Session: args.Session,
	}})
	if fault != nil {
		return wire.LeaveReply{}, fault
	}
	if result, ok := value.(ledger.ReportResult); !ok || result.Refusal != "" {
		return wire.LeaveReply{}, wire.NewFault(wire.CodeSessionGone, "the session has ended")
	}
	target, ok := l.node.ledger.Target(args.Target)
	if !ok {
		return wire.LeaveReply{}, nil
	}
	if args.EndSession && len(target.Attempts) == 0 {
		_, fault = l.propose(l.ctx, ledger.Command{EndSession: &ledger.EndSession{
			Target:        args.Target,
			Session:       args.Session,
			ConfirmedIdle: true,
		}})
	}
	return wire.LeaveReply{Running: len(target.Attempts)}, fault
}
