package node

import (
	"context"
	"sort"
	"time"

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
	n.router.learnMembers(reply.Membership)
	return nil
}

// adoptCell starts a fresh replica of the cell that a peer tells of.
func (n *Node) adoptCell(ctx context.Context) error {
	hello := n.router.askPeers(ctx)
	if hello == nil {
		return errUnknownCell
	}
	n.router.learnMembers(hello.Membership)
	id, err := newIdentity(hello.Cell)
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
	plan := voterPlan{
		status:  replica.Status(),
		silent:  replica.Silent(l.ctx),
		wanted:  l.node.cfg.Voters,
		replace: l.node.cfg.Timing.Replace,
		caughtUp: func(id raft.ID) bool {
			return replica.CaughtUp(l.ctx, id)
		},
	}
	next, what := plan.step()
	if what == "" {
		return
	}
	if fault := l.change(next); fault != nil {
		l.node.log.Debugf("member: change refused: %s", fault)
		return
	}
	l.node.log.Infof("member: %s", what)
}

// voterPlan finds the next change of membership.
type voterPlan struct {
	status   raft.Status
	silent   map[raft.ID]time.Duration
	wanted   int
	replace  time.Duration
	caughtUp func(raft.ID) bool
}

// step returns the next membership and what it does, or "" for none.
func (p voterPlan) step() (raft.Membership, string) {
	if old, ok := p.lostDisk(); ok {
		return p.status.Membership.Without(old.ID), "removed lost replica of " + old.Name
	}
	voters := len(p.status.Membership.Voters())
	spare, hasSpare := p.bestSpare()
	dead, hasDead := p.deadVoter()
	switch {
	case voters < p.wanted && hasSpare:
		return p.promote(spare)
	case voters == p.wanted && hasDead && hasSpare:
		return p.promote(spare)
	case voters > p.wanted && hasDead:
		return p.status.Membership.Without(dead.ID), "removed silent voter " + dead.Name
	case voters > p.wanted:
		return p.demoteOne()
	case voters == p.wanted && hasSpare && p.improves(spare):
		return p.promote(spare)
	}
	return raft.Membership{}, ""
}

func (p voterPlan) promote(spare raft.Member) (raft.Membership, string) {
	spare.Voter = true
	return p.status.Membership.With(spare), "made voter of " + spare.Name
}

// lostDisk returns a member whose name has come back under another id.
func (p voterPlan) lostDisk() (raft.Member, bool) {
	for _, old := range p.status.Membership.Members {
		if p.silent[old.ID] < time.Second || old.ID == p.status.ID {
			continue
		}
		for _, other := range p.status.Membership.Members {
			if other.Name == old.Name && other.ID != old.ID && p.silent[other.ID] < time.Second {
				return old, true
			}
		}
	}
	return raft.Member{}, false
}

func (p voterPlan) deadVoter() (raft.Member, bool) {
	for _, member := range p.status.Membership.Members {
		if member.Voter && member.ID != p.status.ID && p.silent[member.ID] >= p.replace {
			return member, true
		}
	}
	return raft.Member{}, false
}

// bestSpare returns a live learner that has caught up, one whose failure
// domain has the fewest live voters.
func (p voterPlan) bestSpare() (raft.Member, bool) {
	var spares []raft.Member
	for _, member := range p.status.Membership.Members {
		if !member.Voter && p.silent[member.ID] < time.Second && p.caughtUp(member.ID) {
			spares = append(spares, member)
		}
	}
	if len(spares) == 0 {
		return raft.Member{}, false
	}
	sort.Slice(spares, func(i, j int) bool {
		a, b := p.votersIn(spares[i].Domain), p.votersIn(spares[j].Domain)
		if a != b {
			return a < b
		}
		return spares[i].Name < spares[j].Name
	})
	return spares[0], true
}

// votersIn counts the voters of the domain that are not silent for long.
func (p voterPlan) votersIn(domain string) int {
	count := 0
	for _, member := range p.status.Membership.Members {
		live := member.ID == p.status.ID || p.silent[member.ID] < p.replace
		if member.Voter && live && member.Domain == domain {
			count++
		}
	}
	return count
}

// improves tells whether the spare would spread the voters wider: some
// domain has two of them and the spare's has none.
func (p voterPlan) improves(spare raft.Member) bool {
	if p.votersIn(spare.Domain) > 0 {
		return false
	}
	_, crowded := p.crowdedVoter()
	return crowded
}

// crowdedVoter returns a voter, not this one, whose domain has another.
func (p voterPlan) crowdedVoter() (raft.Member, bool) {
	for _, member := range p.status.Membership.Members {
		if member.Voter && member.ID != p.status.ID && p.votersIn(member.Domain) > 1 {
			return member, true
		}
	}
	return raft.Member{}, false
}

// demoteOne makes a learner again of one voter too many.
func (p voterPlan) demoteOne() (raft.Membership, string) {
	member, ok := p.crowdedVoter()
	if !ok {
		member, ok = p.lastVoter()
	}
	if !ok {
		return raft.Membership{}, ""
	}
	member.Voter = false
	return p.status.Membership.With(member), "made learner of " + member.Name
}

// lastVoter returns the voter that was listed last, other than this one.
func (p voterPlan) lastVoter() (raft.Member, bool) {
	for i := len(p.status.Membership.Members) - 1; i >= 0; i-- {
		member := p.status.Membership.Members[i]
		if member.Voter && member.ID != p.status.ID {
			return member, true
		}
	}
	return raft.Member{}, false
}
