package group

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	service     = "Group"
	methodHello = service + ".Hello"
	methodJoin  = service + ".Join"

	joinEvery     = 300 * time.Millisecond
	settledEvery  = 2 * time.Second
	changeTimeout = 5 * time.Second
	joinTimeout   = 2 * time.Second
)

// calls is the service that instances ask each other.
type calls struct {
	host *Host
}

// Hello tells who the instance is and what it knows of the group.
func (c *calls) Hello(args *wire.HelloArgs, reply *wire.Reply[wire.Hello]) error {
	h := c.host
	h.Heard(args.Name)
	reply.Value = wire.Hello{
		Name:       h.cfg.Name,
		Cell:       h.cell(),
		Membership: h.router.Members(),
	}
	replica := h.replica.Load()
	if replica == nil {
		reply.Value.Leader = h.router.Leader()
		return nil
	}
	status := replica.Status()
	reply.Value.ID = status.ID
	reply.Value.Membership = status.Membership
	if leader, ok := status.Membership.Find(status.Leader); ok {
		reply.Value.Leader = leader.Address
	}
	return nil
}

// Heard notes the address of an instance that has said hello.
func (h *Host) Heard(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[address] = time.Now()
}

// Nodes returns the addresses of the instances heard from within the time,
// this one's among them.
func (h *Host) Nodes(within time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes := []string{h.cfg.Address}
	for address, at := range h.nodes {
		switch quiet := time.Since(at); {
		case address == h.cfg.Address:
		case quiet < within:
			nodes = append(nodes, address)
		case quiet > time.Minute:
			delete(h.nodes, address)
		}
	}
	return nodes
}

// Peers returns the other members of the group.
func (h *Host) Peers() []raft.Member {
	replica := h.replica.Load()
	if replica == nil {
		return nil
	}
	var peers []raft.Member
	for _, member := range replica.Status().Membership.Members {
		if member.Address != "" && member.Address != h.cfg.Address {
			peers = append(peers, member)
		}
	}
	return peers
}

// Check says hello to the instance. The connection to one that does not answer
// within the limit is closed, and every call on it fails at once.
func (h *Host) Check(address string, limit time.Duration) error {
	_, err := CallAt[wire.HelloArgs, wire.Hello](h.ctx, h, address, methodHello, h.router.hello(), limit)
	if err != nil {
		h.router.Client(address).Reset()
	}
	return err
}

// Join makes an instance with a disk a learner.
func (c *calls) Join(args *wire.JoinArgs, reply *wire.Reply[wire.Joined]) error {
	replica := c.host.replica.Load()
	if replica == nil || replica.Status().Role != raft.RoleLeader {
		reply.Fault = wire.Newf(wire.CodeNotLeader, "")
		return nil
	}
	membership := replica.Status().Membership
	member := args.Member
	known, ok := membership.Find(member.ID)
	member.Voter = ok && known.Voter
	if !ok || known != member {
		membership = membership.With(member)
		if err := c.host.change(membership); err != nil {
			reply.Fault = wire.Newf(wire.CodeUnavailable, err.Error())
			return nil
		}
		c.host.log.WithFields(logrus.Fields{
			"name":    member.Name,
			"id":      member.ID,
			"address": member.Address,
		}).Info("member: joined")
	}
	reply.Value = wire.Joined{Membership: membership}
	return nil
}

func (h *Host) change(next raft.Membership) error {
	ctx, cancel := context.WithTimeout(h.ctx, changeTimeout)
	defer cancel()
	return h.replica.Load().ChangeMembership(ctx, next)
}

// keepMember gives the data folder a replica, sees that the group knows its
// name and address, and while it leads, keeps the voters as wanted.
func (h *Host) keepMember() {
	every := joinEvery
	for Pause(h.ctx, every) {
		every = joinEvery
		settled, err := h.ensureMember()
		if err != nil {
			h.log.WithError(err).Debug("member: not joined yet")
			continue
		}
		if settled {
			every = settledEvery
		}
		if replica := h.replica.Load(); replica != nil && replica.Status().Role == raft.RoleLeader {
			every = joinEvery
			h.improveVoters(replica)
		}
	}
}

// ensureMember tells whether the group knows this replica as it is.
func (h *Host) ensureMember() (bool, error) {
	ctx, cancel := context.WithTimeout(h.ctx, joinTimeout)
	defer cancel()
	if h.replica.Load() == nil {
		if err := h.adopt(ctx); err != nil {
			return false, err
		}
	}
	status := h.replica.Load().Status()
	want := h.member(status.ID)
	if known, ok := status.Membership.Find(status.ID); ok {
		want.Voter = known.Voter
		if known == want {
			return true, nil
		}
	}
	args := &wire.JoinArgs{Member: want}
	calls := &calls{host: h}
	reply, fault := Route(ctx, h, methodJoin, args, calls.Join)
	if fault != nil {
		return false, fault
	}
	h.router.LearnMembers(reply.Membership)
	return false, nil
}

func (h *Host) member(id raft.ID) raft.Member {
	return raft.Member{
		ID:      id,
		Name:    h.cfg.Name,
		Address: h.cfg.Address,
		Domain:  h.cfg.Domain,
	}
}

// adopt starts a fresh replica of the group that a peer tells of.
func (h *Host) adopt(ctx context.Context) error {
	hello := h.router.ask(ctx)
	if hello == nil {
		return errors.New("no peer belongs to a group")
	}
	h.router.LearnMembers(hello.Membership)
	id, err := NewIdentity(hello.Cell)
	if err != nil {
		return err
	}
	return h.start(id, nil)
}

func (h *Host) improveVoters(replica *raft.Replica) {
	plan := VoterPlan{
		Status:  replica.Status(),
		Silent:  replica.Silent(h.ctx),
		Wanted:  h.cfg.Voters,
		Replace: h.cfg.Replace,
		CaughtUp: func(id raft.ID) bool {
			return replica.CaughtUp(h.ctx, id)
		},
	}
	next, what := plan.Step()
	if what == "" {
		return
	}
	if err := h.change(next); err != nil {
		h.log.WithError(err).Debug("member: change refused")
		return
	}
	h.log.Infof("member: %s", what)
}
