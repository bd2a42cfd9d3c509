package node

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

const (
	// pollParts is the part of the lease, one in so many, that a poll waits
	// at most, so that there is time for others if it is lost.
	pollParts    = 3
	sessionRetry = 500 * time.Millisecond
)

// Announce opens a target's session. While an earlier session of the target
// may still be live, the target has to wait.
func (c *calls) Announce(args *wire.AnnounceArgs, reply *wire.Reply[wire.PollReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.announce(args.Announce)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) announce(a ledger.Announce) (wire.PollReply, *wire.Fault) {
	if fault := l.earlierSession(a); fault != nil {
		return wire.PollReply{}, fault
	}
	value, fault := l.propose(l.ctx, ledger.Command{Announce: &a})
	if fault != nil {
		return wire.PollReply{}, fault
	}
	result, ok := value.(ledger.AnnounceResult)
	if !ok {
		return wire.PollReply{}, wire.Newf(wire.CodeInternal, "odd result of an announce")
	}
	switch result.Refusal {
	case "":
		return wire.PollReply{TTL: l.granter.Terms().TTL}, nil
	case ledger.RefusedLive:
		if fault := l.earlierSession(a); fault != nil {
			return wire.PollReply{}, fault
		}
	}
	return wire.PollReply{}, wire.Newf(wire.CodeBadRequest, string(result.Refusal))
}

// earlierSession tells when to announce again while an earlier session of the
// target may be live. That session is renewed no more. The log is not asked:
// many targets may come back at once, again and again.
func (l *leader) earlierSession(a ledger.Announce) *wire.Fault {
	target, ok := l.node.ledger.Target(a.Target)
	if !ok || target.Session == a.Session {
		return nil
	}
	key := keyOf(target)
	l.mu.Lock()
	l.superseded[key] = true
	l.mu.Unlock()
	fault := wire.Newf(wire.CodeSessionLive, "an earlier session of the target may still run work")
	fault.RetryAfter = sessionRetry
	if end, ok := l.granter.End(key); ok {
		fault.RetryAfter = max(time.Until(end), sessionRetry)
	}
	return fault
}

func (l *leader) isSuperseded(key sessionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.superseded[key] || l.ending[key]
}

// Poll renews a target's lease, and brings it its orders as soon as there
// are any.
func (c *calls) Poll(args *wire.PollArgs, reply *wire.Reply[wire.PollReply]) error {
	received := time.Now()
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.poll(*args, received)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) poll(args wire.PollArgs, received time.Time) (wire.PollReply, *wire.Fault) {
	key := sessionKey{
		target:  args.Target,
		session: args.Session,
	}
	if _, fault := l.session(key); fault != nil {
		return wire.PollReply{}, fault
	}
	l.granter.Grant(key, received)
	l.node.meter.Polls.Inc()
	l.observeUsage(args)
	timer := time.NewTimer(min(max(args.Wait, 0), l.granter.Terms().TTL/pollParts))
	defer timer.Stop()
	box := l.box(args.Target)
	for {
		raised := box.wait()
		target, fault := l.session(key)
		if fault != nil {
			return wire.PollReply{}, fault
		}
		reply := l.orders(target, args.Known)
		if len(reply.Orders) > 0 || l.isReleased() {
			return l.granted(reply)
		}
		select {
		case <-raised:
		case <-timer.C:
			return l.granted(reply)
		case <-l.ctx.Done():
			return wire.PollReply{}, l.node.notLeader()
		}
	}
}

// granted gives the answer only while this replica is surely the leader: a
// target must never extend its lease on the word of one that is not.
func (l *leader) granted(reply wire.PollReply) (wire.PollReply, *wire.Fault) {
	if !l.node.replica.Load().LeaseLive() || l.ctx.Err() != nil {
		return wire.PollReply{}, l.node.notLeader()
	}
	reply.TTL = l.granter.Terms().TTL
	return reply, nil
}

func (l *leader) session(key sessionKey) (*ledger.Target, *wire.Fault) {
	target, ok := l.node.ledger.Target(key.target)
	if !ok || target.Session != key.session || l.isSuperseded(key) {
		return nil, wire.Newf(wire.CodeSession, "announce again under a new session")
	}
	return target, nil
}

// orders returns what the target has to be told, given what it knows.
func (l *leader) orders(target *ledger.Target, known []wire.Known) wire.PollReply {
	var reply wire.PollReply
	knows := make(map[ledger.Attempt]wire.Known, len(known))
	for _, k := range known {
		knows[k.Attempt] = k
	}
	for _, attempt := range target.Attempts {
		job, ok := l.node.ledger.Job(attempt.Job)
		if !ok {
			continue
		}
		k, isKnown := knows[attempt]
		delete(knows, attempt)
		if order, ok := orderFor(job, attempt, k, isKnown); ok {
			reply.Orders = append(reply.Orders, order)
		}
	}
	for _, k := range known {
		if _, left := knows[k.Attempt]; left {
			reply.Settled = append(reply.Settled, k.Attempt)
		}
	}
	return reply
}

func orderFor(job *ledger.Job, attempt ledger.Attempt, known wire.Known, isKnown bool) (wire.Order, bool) {
	task := job.Tasks[attempt.Task]
	order := wire.Order{
		Attempt: attempt,
		Service: job.Spec.Service,
		Team:    job.Team,
		Room:    job.Spec.Room,
		Reason:  string(task.Stop),
	}
	switch {
	case task.Stop != ledger.ReasonNone:
		order.Kind = wire.OrderStop
		return order, !known.Stopping
	case !isKnown && task.State == ledger.TaskPlaced:
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
		return order, !known.Released
	case task.State == ledger.TaskRunning && !known.Throttled &&
		sched.Enforce(job.Spec.Room, known.Used) == sched.ActionThrottle:
		order.Kind = wire.OrderThrottle
		return order, true
	}
	return wire.Order{}, false
}

// observeUsage learns from what the target's attempts use, and stops those
// that use more memory than they were declared to.
func (l *leader) observeUsage(args wire.PollArgs) {
	stop := &ledger.Stop{Reason: ledger.ReasonOversize}
	for _, known := range args.Known {
		if known.Used.IsZero() {
			continue
		}
		job, ok := l.node.ledger.Job(known.Attempt.Job)
		if !ok || job.Over() {
			continue
		}
		l.engine.ObserveUsage(job.Team, job.Spec.Service, job.Spec.Room, known.Used)
		if !known.Stopping && sched.Enforce(job.Spec.Room, known.Used) == sched.ActionStop {
			stop.Attempts = append(stop.Attempts, known.Attempt)
		}
	}
	if len(stop.Attempts) > 0 {
		l.node.log.Infof("sched: over declared size target=%s attempts=%d", args.Target, len(stop.Attempts))
		l.proposeLogged(ledger.Command{Stop: stop})
	}
}

// Report keeps the events of a target.
func (c *calls) Report(args *wire.ReportArgs, reply *wire.Reply[wire.ReportReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.report(args.Report)
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
		return wire.ReportReply{}, wire.Newf(wire.CodeInternal, "odd result of a report")
	}
	if result.Refusal != "" {
		return wire.ReportReply{}, wire.Newf(wire.CodeSession, "announce again under a new session")
	}
	return wire.ReportReply{Late: result.Late}, nil
}

// Leave has a target get nothing new, and ends its session once nothing
// runs there.
func (c *calls) Leave(args *wire.LeaveArgs, reply *wire.Reply[wire.LeaveReply]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.leave(*args)
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
		return wire.LeaveReply{}, wire.Newf(wire.CodeSession, "the session has ended")
	}
	target, ok := l.node.ledger.Target(args.Target)
	if !ok {
		return wire.LeaveReply{}, nil
	}
	if args.Done && len(target.Attempts) == 0 {
		_, fault = l.propose(l.ctx, ledger.Command{Session: &ledger.EndSession{
			Target:  args.Target,
			Session: args.Session,
			Clean:   true,
		}})
	}
	return wire.LeaveReply{Running: len(target.Attempts)}, fault
}
