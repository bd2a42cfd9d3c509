package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/boot"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	serviceName = "Group"
	methodHello = serviceName + ".Hello"
	methodJoin  = serviceName + ".Join"

	// joinInterval is the pause between checks of the membership until the instance
	// has joined, and joinedInterval the pause after that.
	joinInterval   = 300 * time.Millisecond
	joinedInterval = time.Second
	// votersInterval is the pause between looks of the leader at the voters.
	votersInterval = 300 * time.Millisecond
	// changeTimeout bounds one membership change. The leader does not look at the
	// voters meanwhile.
	changeTimeout = time.Second
	// joinTimeout bounds one attempt to join the group.
	joinTimeout = 2 * time.Second
)

// rpcService is the RPC service through which the instances of a group call
// each other.
type rpcService struct {
	host *Host
}

// Hello returns the instance's name and what it knows about the group.
func (s *rpcService) Hello(args *wire.HelloArgs, reply *wire.Reply[wire.HelloReply]) error {
	h := s.host
	h.RecordHello(args.Name)
	if args.Leads {
		h.router.followNewLeader(args.Name)
	}
	reply.Value = wire.HelloReply{
		Name:       h.cfg.Name,
		Cell:       h.cellName(),
		Membership: h.router.Membership(),
		Clock:      h.Clock(),
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

// RecordHello records that the instance at the address has sent a Hello call.
func (h *Host) RecordHello(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helloAt[address] = time.Now()
}

// AnnounceLeadership tells the members, and the instances that have sent a Hello
// call within the duration, that this instance leads. They need not wait until they
// miss the old leader and find the new one by a search.
func (h *Host) AnnounceLeadership(within time.Duration) {
	addresses := h.LiveAddresses(within)
	for _, member := range h.Peers() {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	args := h.router.helloArgs()
	args.Leads = true
	var calls sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		if address == h.cfg.Address {
			continue
		}
		calls.Go(func() {
			_, err := h.callHello(address, args, helloTimeout)
			if err != nil {
				h.log.WithError(err).WithField("instance", address).Debug("group: leadership not announced")
				return
			}
			h.RecordHello(address)
		})
	}
	calls.Wait()
}

// LiveAddresses returns the addresses of this instance and of those that have
// sent a Hello call within the duration.
func (h *Host) LiveAddresses(within time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses := []string{h.cfg.Address}
	for address, at := range h.helloAt {
		switch age := time.Since(at); {
		case address == h.cfg.Address:
		case age < within:
			addresses = append(addresses, address)
		case age > time.Minute:
			delete(h.helloAt, address)
		}
	}
	return addresses
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

// Ping sends a Hello call to the instance and returns the reading of its clock, which is
// zero for an instance of an earlier release. If there is no reply within the limit, Ping
// closes the connection, so that all pending calls on it fail at once.
func (h *Host) Ping(address string, limit time.Duration) (wire.ProcessClock, error) {
	reply, err := h.callHello(address, h.router.helloArgs(), limit)
	if err != nil {
		h.router.Pair(address).Reset()
	}
	return reply.Value.Clock, err
}

// Clock returns a reading of this process's clock.
func (h *Host) Clock() wire.ProcessClock {
	return wire.ProcessClock{
		Process: h.process,
		Reading: boot.Now(),
	}
}

// Join adds an instance with a replica to the group as a learner, or updates its
// name, address and failure domain. Only the leader accepts it.
func (s *rpcService) Join(args *wire.JoinArgs, reply *wire.Reply[wire.MembershipReply]) error {
	replica := s.host.replica.Load()
	if replica == nil || replica.Status().Role != raft.RoleLeader {
		reply.Fault = wire.NewFault(wire.CodeNotLeader, "")
		return nil
	}
	membership := replica.Status().Membership
	member := args.Member
	current, ok := membership.Find(member.ID)
	member.Voter = ok && current.Voter
	if !ok || current != member {
		membership = membership.With(member)
		if err := s.host.changeMembership(membership); err != nil {
			reply.Fault = wire.NewFault(wire.CodeUnavailable, err.Error())
			return nil
		}
		s.host.log.WithFields(logrus.Fields{
			"name":    member.Name,
			"id":      member.ID,
			"address": member.Address,
		}).Info("member: joined")
	}
	reply.Value = wire.MembershipReply{Membership: membership}
	return nil
}

func (h *Host) changeMembership(next raft.Membership) error {
	ctx, cancel := context.WithTimeout(h.ctx, changeTimeout)
	defer cancel()
	return h.replica.Load().ChangeMembership(ctx, next)
}

// maintainMembership starts a replica if the data folder has none, and keeps the
// instance's entry in the membership up to date.
func (h *Host) maintainMembership() {
	interval := joinInterval
	for SleepContext(h.ctx, interval) {
		interval = joinInterval
		joined, err := h.ensureJoined()
		if err != nil {
			h.log.WithError(err).Debug("member: not joined yet")
			continue
		}
		if joined {
			interval = joinedInterval
		}
	}
}

// maintainVoters adjusts the voters while the instance is the leader.
func (h *Host) maintainVoters() {
	for SleepContext(h.ctx, votersInterval) {
		replica := h.replica.Load()
		if replica == nil || replica.Status().Role != raft.RoleLeader {
			h.members.Reset()
			continue
		}
		h.adjustVoters(replica)
	}
}

// ensureJoined reports whether the leader's membership contains this replica with its
// current name, address and failure domain. If not, it sends a Join call to the
// leader.
func (h *Host) ensureJoined() (bool, error) {
	ctx, cancel := context.WithTimeout(h.ctx, joinTimeout)
	defer cancel()
	if h.replica.Load() == nil {
		if err := h.startNewReplica(ctx); err != nil {
			return false, err
		}
	}
	replica := h.replica.Load()
	if err := replica.Err(); err != nil {
		return false, err
	}
	status := replica.Status()
	self := h.selfMember(status.ID)
	if current, ok := h.router.MembershipAtLeader(status).Find(status.ID); ok {
		self.Voter = current.Voter
		if current == self {
			return true, nil
		}
	}
	args := &wire.JoinArgs{Member: self}
	service := &rpcService{host: h}
	reply, fault := CallLeader(ctx, h, methodJoin, args, service.Join)
	if fault != nil {
		return false, fault
	}
	h.router.SetMembership(reply.Membership)
	return false, nil
}

// selfMember returns the membership entry of this instance.
func (h *Host) selfMember(id raft.ID) raft.Member {
	return raft.Member{
		ID:      id,
		Name:    h.cfg.Name,
		Address: h.cfg.Address,
		Domain:  h.cfg.Domain,
	}
}

// startNewReplica starts a new, empty replica of the group that a peer belongs
// to.
func (h *Host) startNewReplica(ctx context.Context) error {
	hello := h.router.queryPeers(ctx)
	if hello == nil {
		return errors.New("no peer belongs to a group")
	}
	h.router.SetMembership(hello.Membership)
	id, err := NewIdentity(hello.Cell)
	if err != nil {
		return err
	}
	return h.startReplica(id, nil)
}

// adjustVoters makes the next change that moves the voters towards the
// configuration, if one is needed.
func (h *Host) adjustVoters(replica *raft.Replica) {
	observation := replica.Observe(h.ctx)
	plan := VoterPlan{
		Status:         replica.Status(),
		SinceLastReply: observation.SinceLastReply,
		VoterCount:     h.cfg.Voters,
		ReplaceAfter:   h.cfg.ReplaceVoterAfter,
		Leading:        observation.Leading,
		CaughtUp: func(id raft.ID) bool {
			return replica.CaughtUp(h.ctx, id)
		},
	}
	h.members.RecordPlan(plan)
	next, description := plan.NextChange()
	if description == "" {
		return
	}
	h.members.RecordChange(description, h.changeMembership(next))
}
