package push

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// Operators repeat a request to evacuate a failure domain, through other instances, and a
// request that was given up may arrive late: after the one that withdraws it. A request
// therefore names how many changes its sender knows of, and the leader carries out none that
// names fewer than there were. The sender asks again as long as its caller waits.

// EvacuateArgs are the arguments of Evacuate.
type EvacuateArgs struct {
	Domain    string
	Withdrawn bool
	// Changes is the number of changes that the sender knows of.
	Changes uint64
}

// EvacuateReply is the reply to Evacuate.
type EvacuateReply struct {
	// Outdated is true if the sender did not know of all changes, so that nothing was done.
	Outdated bool
	// Changes is the number of changes so far.
	Changes uint64
}

// Evacuate evacuates a failure domain, or withdraws that. It returns without a fault only
// after this is committed.
func (c *rpcService) Evacuate(args *EvacuateArgs, reply *wire.Reply[EvacuateReply]) error {
	return serveAsLeader(c.scheduler, reply, func(ctx context.Context, l *leader) (EvacuateReply, *wire.Fault) {
		return l.evacuate(ctx, args)
	})
}

// Evacuate has the leader evacuate a failure domain, or withdraw that. The fault has
// CodeNotFound if the domain is unknown.
func (s *Scheduler) Evacuate(ctx context.Context, domain string, withdrawn bool) *wire.Fault {
	_, changes := s.ledger.Evacuations()
	for {
		reply, fault := group.CallLeader(ctx, s.host, methodEvacuate, &EvacuateArgs{
			Domain:    domain,
			Withdrawn: withdrawn,
			Changes:   changes,
		}, (&rpcService{scheduler: s}).Evacuate)
		if fault != nil || !reply.Outdated {
			return fault
		}
		// The context of an instance that stood still may end late.
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Now().After(deadline) {
			return wire.NewFault(wire.CodeUnavailable, "evacuations have changed")
		}
		changes = reply.Changes
	}
}

// evacuate checks and commits an evacuation or its withdrawal. The ledger applies any, as
// replicas of the last release apply none.
func (l *leader) evacuate(ctx context.Context, args *EvacuateArgs) (EvacuateReply, *wire.Fault) {
	fields := logrus.Fields{
		"domain":    args.Domain,
		"withdrawn": args.Withdrawn,
	}
	if !l.knowsDomain(args.Domain) {
		l.log.WithFields(fields).WithField("refusal", "unknown-domain").Warn("evacuation: refused")
		return EvacuateReply{}, wire.NewFault(wire.CodeNotFound, fmt.Sprintf("failure domain %q is unknown", args.Domain))
	}
	// No other change is committed between the check of the number and the commit.
	select {
	case l.evacuating <- struct{}{}:
	case <-ctx.Done():
		return EvacuateReply{}, wire.NewFault(wire.CodeUnavailable, "another evacuation is being committed")
	}
	defer func() { <-l.evacuating }()
	_, changes := l.scheduler.ledger.Evacuations()
	again := l.scheduler.ledger.IsEvacuated(args.Domain) != args.Withdrawn
	if !again && args.Changes != changes {
		return EvacuateReply{
			Outdated: true,
			Changes:  changes,
		}, nil
	}
	if !again {
		if _, fault := l.propose(ctx, graph.Command{Evacuate: &graph.Evacuate{
			Domain:    args.Domain,
			Withdrawn: args.Withdrawn,
		}}); fault != nil {
			l.log.WithFields(fields).WithField("fault", fault.Error()).Warn("evacuation: not committed")
			return EvacuateReply{}, fault
		}
	}
	l.evacuationChanged(args, again)
	_, changes = l.scheduler.ledger.Evacuations()
	return EvacuateReply{Changes: changes}, nil
}

// knowsDomain reports whether the failure domain is one of the settings, or one of a known
// target if they name none. An evacuated domain is known in any case, so that it can be
// withdrawn.
func (l *leader) knowsDomain(domain string) bool {
	known := l.scheduler.domains
	if len(known) == 0 {
		known = l.scheduler.ledger.Domains()
	}
	return domain != "" && slices.Contains(known, domain) || l.scheduler.ledger.IsEvacuated(domain)
}

// evacuationChanged logs that the request is carried out, and has the runs in the domain
// compared with what they should be.
func (l *leader) evacuationChanged(args *EvacuateArgs, again bool) {
	entry := l.log.WithFields(logrus.Fields{
		"domain": args.Domain,
		"again":  again,
	})
	if args.Withdrawn {
		entry.Info("evacuation: withdrawn")
	} else {
		entry.WithField("targets", l.scheduler.ledger.TargetsIn(args.Domain)).Info("evacuation: in force")
	}
	for _, d := range l.allDrivers() {
		d.wakeUp()
	}
	l.wakeDecisionLoop()
}

// logEvacuations logs the evacuations that this leader has found in the ledger.
func (l *leader) logEvacuations() {
	all, _ := l.scheduler.ledger.Evacuations()
	for _, e := range all {
		l.log.WithFields(logrus.Fields{
			"domain":  e.Domain,
			"since":   time.UnixMilli(int64(e.Since)).UTC(),
			"targets": l.scheduler.ledger.TargetsIn(e.Domain),
			"again":   true,
		}).Info("evacuation: in force")
	}
}

// isEvacuated reports whether the failure domain of the target is evacuated. No start is sent
// to it then. A run whose start may have reached the target goes on if the target lists it.
func (d *driver) isEvacuated() bool {
	return d.leader.scheduler.ledger.IsTargetEvacuated(d.target.ID)
}

// mayStart reports whether a start of the run may be sent now.
func (d *driver) mayStart(key runKey, desired bool) bool {
	if !desired {
		return false
	}
	if !d.isEvacuated() {
		return true
	}
	d.log.WithFields(logrus.Fields{
		"job":    key.task.Job,
		"task":   key.task.Name(),
		"run":    key.run,
		"domain": d.target.Domain,
	}).Info("evacuation: run is not started")
	return false
}
