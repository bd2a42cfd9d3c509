package group

import (
	"fmt"
	"slices"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// findLeader returns the leader as the peers of the instance name it.
func (m *modelCell) findLeader(inst *modelInstance) *modelInstance {
	addresses := slices.Clone(inst.seeds)
	for _, member := range inst.known.Members {
		addresses = append(addresses, member.Address)
	}
	if inst.core != nil {
		for _, member := range inst.core.Status().Membership.Members {
			addresses = append(addresses, member.Address)
		}
	}
	for _, address := range addresses {
		peer := m.reaches(inst, address)
		if peer == nil || peer.core == nil {
			continue
		}
		status := peer.core.Status()
		if len(inst.known.Members) == 0 {
			inst.known = status.Membership
		}
		leader, ok := status.Membership.Find(status.Leader)
		if !ok {
			continue
		}
		found := m.reaches(inst, leader.Address)
		if leader.Address == inst.address {
			found = inst
		}
		if found != nil && found.core != nil && found.core.Status().Role == raft.RoleLeader {
			inst.known = found.core.Status().Membership
			return found
		}
	}
	return nil
}

// join does what maintainMembership does.
func (m *modelCell) join(inst *modelInstance) {
	if m.now >= inst.nextPing {
		inst.nextPing = m.now + pingInterval
		m.findLeader(inst)
	}
	if m.now < inst.nextJoin {
		return
	}
	inst.nextJoin = m.now + joinInterval
	if inst.core == nil {
		m.findLeader(inst)
		if len(inst.known.Members) == 0 {
			return
		}
		inst.disk.id = raft.ID(m.rand.Uint64() | 1)
		m.startCore(inst)
	}
	status := inst.core.Status()
	self := raft.Member{
		ID:      status.ID,
		Name:    inst.name,
		Address: inst.address,
		Domain:  inst.domain,
	}
	membership := inst.known
	if status.Role == raft.RoleLeader {
		membership = status.Membership
	}
	if current, ok := membership.Find(status.ID); ok {
		self.Voter = current.Voter
		if current == self {
			inst.nextJoin = m.now + joinedInterval
			return
		}
	}
	leader := m.findLeader(inst)
	if leader == nil || leader.syncing != nil {
		return
	}
	current := leader.core.Status().Membership
	before, ok := current.Find(self.ID)
	self.Voter = ok && before.Voter
	if ok && before == self {
		return
	}
	if _, _, err := leader.core.ProposeMembership(current.With(self)); err == nil {
		m.log("%8s %s joined id=%x", m.now, inst.name, self.ID)
	}
}

func (m *modelCell) adjustVoters(inst *modelInstance) {
	status := inst.core.Status()
	if inst.changeIndex != 0 && status.Commit < inst.changeIndex && m.now < inst.changeDeadline {
		return
	}
	inst.changeIndex = 0
	if m.now < inst.nextVoters {
		return
	}
	inst.nextVoters = m.now + votersInterval
	observation := inst.core.Observe()
	plan := VoterPlan{
		Status:         status,
		SinceLastReply: observation.SinceLastReply,
		VoterCount:     m.voters,
		ReplaceAfter:   modelCatchUp / 2,
		Leading:        observation.Leading,
		CaughtUp:       inst.core.CaughtUp,
	}
	next, description := plan.NextChange()
	if description == "" {
		return
	}
	index, _, err := inst.core.ProposeMembership(next)
	m.log("%8s leader %s: %s (%v) voters=%s", m.now, inst.name, description, err, describeVoters(next))
	if err == nil {
		inst.changeIndex, inst.changeDeadline = index, m.now+changeTimeout
	}
}

func describeVoters(membership raft.Membership) string {
	var names []string
	for _, member := range membership.Members {
		if member.Voter {
			names = append(names, fmt.Sprintf("%s/%x", member.Name, member.ID&0xfff))
		}
	}
	return fmt.Sprint(names)
}
