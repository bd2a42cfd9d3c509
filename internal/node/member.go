package node

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	joinInterval   = 200 * time.Millisecond
	votersInterval = 200 * time.Millisecond
)

// maintainMembership joins the peers' cell if the data folder has no identity
// yet, and keeps this replica and its address in the membership.
func (n *Node) maintainMembership() {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if err := n.ensureMember(); err != nil {
			n.log.Debugf("node: not a member yet: %s", err)
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) ensureMember() error {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	replica := n.replica.Load()
	if replica == nil {
		if err := n.joinCell(ctx); err != nil {
			return err
		}
		replica = n.replica.Load()
	}
	status := replica.Status()
	member, ok := n.router.MembershipAtLeader(status).Find(status.ID)
	if ok && member.Address == n.cfg.Advertise {
		return nil
	}
	args := &wire.JoinArgs{Member: n.selfMember(status.ID)}
	service := &rpcService{node: n}
	reply, fault := callLeader(ctx, n.router, wire.MethodJoin, args, 0, service.Join)
	if fault != nil {
		return fault
	}
	n.router.SetMembership(reply.Membership)
	return nil
}

// joinCell starts a new replica of the cell that a peer belongs to.
func (n *Node) joinCell(ctx context.Context) error {
	hello := n.router.askPeers(ctx)
	if hello == nil {
		return errNoCell
	}
	n.router.SetMembership(hello.Membership)
	id, err := group.NewIdentity(hello.Cell)
	if err != nil {
		return err
	}
	return n.startReplica(id, false)
}

// Join adds an instance with a data folder to the membership, as a learner.
func (s *rpcService) Join(args *wire.JoinArgs, reply *wire.Reply[wire.MembershipReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.addMember(args.Member)
	}
	reply.Fault = fault
	return nil
}

// addMember adds the member or updates its address. An older member of the same
// name under another ID has lost its disk; maintainVoters removes it.
func (l *leader) addMember(member raft.Member) (wire.MembershipReply, *wire.Fault) {
	replica := l.node.replica.Load()
	membership := replica.Status().Membership
	known, ok := membership.Find(member.ID)
	member.Voter = ok && known.Voter
	if ok && known == member {
		return wire.MembershipReply{Membership: membership}, nil
	}
	next := membership.With(member)
	if fault := l.changeMembership(next); fault != nil {
		return wire.MembershipReply{}, fault
	}
	l.node.log.Infof("member: joined name=%s id=%d address=%s", member.Name, member.ID, member.Address)
	return wire.MembershipReply{Membership: next}, nil
}

func (l *leader) changeMembership(next raft.Membership) *wire.Fault {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if err := l.node.replica.Load().ChangeMembership(ctx, next); err != nil {
		return l.node.faultFor(err)
	}
	return nil
}

// Member removes the named member.
func (s *rpcService) Member(args *wire.MemberArgs, reply *wire.Reply[wire.MembershipReply]) error {
	leader, fault := s.node.activeLeader()
	if fault == nil {
		reply.Value, fault = leader.removeMember(args.Remove)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) removeMember(name string) (wire.MembershipReply, *wire.Fault) {
	membership := l.node.replica.Load().Status().Membership
	for _, member := range membership.Members {
		if member.Name != name {
			continue
		}
		next := membership.Without(member.ID)
		if fault := l.changeMembership(next); fault != nil {
			return wire.MembershipReply{}, fault
		}
		l.node.log.Infof("member: removed name=%s id=%d", member.Name, member.ID)
		return wire.MembershipReply{Membership: next}, nil
	}
	return wire.MembershipReply{}, wire.NewFault(wire.CodeNotFound, "no member of this name")
}

// maintainVoters moves the membership towards the wanted number of voters, one
// change at a time: it removes replicas that lost their disk, replaces voters
// that have been silent too long with learners, and spreads voters over failure
// domains as far as the available learners allow.
func (l *leader) maintainVoters() {
	ticker := time.NewTicker(votersInterval)
	defer ticker.Stop()
	watch := group.NewMemberWatch(l.node.log)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.adjustVoters(watch)
		}
	}
}

func (l *leader) adjustVoters(watch *group.MemberWatch) {
	replica := l.node.replica.Load()
	observation := replica.Observe(l.ctx)
	plan := group.VoterPlan{
		Status:         replica.Status(),
		SinceLastReply: observation.SinceLastReply,
		VoterCount:     l.node.cfg.Voters,
		ReplaceAfter:   l.node.cfg.Timing.ReplaceVoterAfter,
		Leading:        observation.Leading,
		CaughtUp: func(id raft.ID) bool {
			return replica.CaughtUp(l.ctx, id)
		},
	}
	watch.RecordPlan(plan)
	next, description := plan.NextChange()
	if description == "" {
		return
	}
	var err error
	if fault := l.changeMembership(next); fault != nil {
		err = fault
	}
	watch.RecordChange(description, err)
}
