package node

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	joinEvery   = 200 * time.Millisecond
	votersEvery = 200 * time.Millisecond
)

// keepMember gives a data folder without an identity a replica of the cell
// that the peers belong to, and sees that the replica is a member of it.
func (n *Node) keepMember() {
	ticker := time.NewTicker(joinEvery)
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
		if err := n.adoptCell(ctx); err != nil {
			return err
		}
		replica = n.replica.Load()
	}
	status := replica.Status()
	member, ok := status.Membership.Find(status.ID)
	if ok && member.Address == n.cfg.Advertise {
		return nil
	}
	args := &wire.JoinArgs{Member: n.member(status.ID)}
	calls := &calls{node: n}
	reply, fault := route(ctx, n.router, wire.MethodJoin, args, 0, calls.Join)
	if fault != nil {
		return fault
	}
	n.router.LearnMembers(reply.Membership)
	return nil
}

// adoptCell starts a fresh replica of the cell that a peer tells of.
func (n *Node) adoptCell(ctx context.Context) error {
	hello := n.router.askPeers(ctx)
	if hello == nil {
		return errUnknownCell
	}
	n.router.LearnMembers(hello.Membership)
	id, err := group.NewIdentity(hello.Cell)
	if err != nil {
		return err
	}
	return n.startReplica(id, false)
}

// Join makes an instance with a disk a learner.
func (c *calls) Join(args *wire.JoinArgs, reply *wire.Reply[wire.Joined]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.join(args.Member)
	}
	reply.Fault = fault
	return nil
}

// join adds the member, or takes over its new address. A member of the same
// name under another id has lost its disk; keepVoters sees to it.
func (l *leader) join(member raft.Member) (wire.Joined, *wire.Fault) {
	replica := l.node.replica.Load()
	membership := replica.Status().Membership
	known, ok := membership.Find(member.ID)
	member.Voter = ok && known.Voter
	if ok && known == member {
		return wire.Joined{Membership: membership}, nil
	}
	next := membership.With(member)
	if fault := l.change(next); fault != nil {
		return wire.Joined{}, fault
	}
	l.node.log.Infof("member: joined name=%s id=%d address=%s", member.Name, member.ID, member.Address)
	return wire.Joined{Membership: next}, nil
}

func (l *leader) change(next raft.Membership) *wire.Fault {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if err := l.node.replica.Load().ChangeMembership(ctx, next); err != nil {
		return l.node.faultOf(err)
	}
	return nil
}

// Member removes a member by its name.
func (c *calls) Member(args *wire.MemberArgs, reply *wire.Reply[wire.Joined]) error {
	lead, fault := c.node.leading()
	if fault == nil {
		reply.Value, fault = lead.remove(args.Remove)
	}
	reply.Fault = fault
	return nil
}

func (l *leader) remove(name string) (wire.Joined, *wire.Fault) {
	membership := l.node.replica.Load().Status().Membership
	for _, member := range membership.Members {
		if member.Name != name {
			continue
		}
		next := membership.Without(member.ID)
		if fault := l.change(next); fault != nil {
			return wire.Joined{}, fault
		}
		l.node.log.Infof("member: removed name=%s id=%d", member.Name, member.ID)
		return wire.Joined{Membership: next}, nil
	}
	return wire.Joined{}, wire.Newf(wire.CodeNotFound, "no member of this name")
}

// keepVoters makes one change at a time towards the wanted voters: replicas
// that lost their disk go, spares take the places of voters silent for long,
// and voters stay in distinct failure domains as far as spares allow.
func (l *leader) keepVoters() {
	ticker := time.NewTicker(votersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.improveVoters()
		}
	}
}

func (l *leader) improveVoters() {
	replica := l.node.replica.Load()
	plan := group.VoterPlan{
		Status:  replica.Status(),
		Silent:  replica.Silent(l.ctx),
		Wanted:  l.node.cfg.Voters,
		Replace: l.node.cfg.Timing.Replace,
		CaughtUp: func(id raft.ID) bool {
			return replica.CaughtUp(l.ctx, id)
		},
	}
	next, what := plan.Step()
	if what == "" {
		return
	}
	if fault := l.change(next); fault != nil {
		l.node.log.Debugf("member: change refused: %s", fault)
		return
	}
	l.node.log.Infof("member: %s", what)
}
