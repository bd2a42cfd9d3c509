package group

import (
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// VoterPlan finds the next change of membership.
type VoterPlan struct {
	Status   raft.Status
	Silent   map[raft.ID]time.Duration
	Wanted   int
	Replace  time.Duration
	CaughtUp func(raft.ID) bool
}

// Step returns the next membership and what it does, or "" for none.
func (p VoterPlan) Step() (raft.Membership, string) {
	if old, ok := p.lostDisk(); ok {
		return p.Status.Membership.Without(old.ID), "removed lost replica of " + old.Name
	}
	voters := len(p.Status.Membership.Voters())
	spare, hasSpare := p.bestSpare()
	dead, hasDead := p.deadVoter()
	switch {
	case voters < p.Wanted && hasSpare:
		return p.promote(spare)
	case voters == p.Wanted && hasDead && hasSpare:
		return p.promote(spare)
	case voters > p.Wanted && hasDead:
		return p.Status.Membership.Without(dead.ID), "removed silent voter " + dead.Name
	case voters > p.Wanted:
		return p.demoteOne()
	case voters == p.Wanted && hasSpare && p.improves(spare):
		return p.promote(spare)
	}
	return raft.Membership{}, ""
}

func (p VoterPlan) promote(spare raft.Member) (raft.Membership, string) {
	spare.Voter = true
	return p.Status.Membership.With(spare), "made voter of " + spare.Name
}

// lostDisk returns a member whose name has come back under another id.
func (p VoterPlan) lostDisk() (raft.Member, bool) {
	for _, old := range p.Status.Membership.Members {
		if p.Silent[old.ID] < time.Second || old.ID == p.Status.ID {
			continue
		}
		for _, other := range p.Status.Membership.Members {
			if other.Name == old.Name && other.ID != old.ID && p.Silent[other.ID] < time.Second {
				return old, true
			}
		}
	}
	return raft.Member{}, false
}

func (p VoterPlan) deadVoter() (raft.Member, bool) {
	for _, member := range p.Status.Membership.Members {
		if member.Voter && member.ID != p.Status.ID && p.Silent[member.ID] >= p.Replace {
			return member, true
		}
	}
	return raft.Member{}, false
}

// bestSpare returns a live learner that has caught up, one whose failure
// domain has the fewest live voters.
func (p VoterPlan) bestSpare() (raft.Member, bool) {
	var spares []raft.Member
	for _, member := range p.Status.Membership.Members {
		if !member.Voter && p.Silent[member.ID] < time.Second && p.CaughtUp(member.ID) {
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
func (p VoterPlan) votersIn(domain string) int {
	count := 0
	for _, member := range p.Status.Membership.Members {
		live := member.ID == p.Status.ID || p.Silent[member.ID] < p.Replace
		if member.Voter && live && member.Domain == domain {
			count++
		}
	}
	return count
}

// improves tells whether the spare would spread the voters wider: some
// domain has two of them and the spare's has none.
func (p VoterPlan) improves(spare raft.Member) bool {
	if p.votersIn(spare.Domain) > 0 {
		return false
	}
	_, crowded := p.crowdedVoter()
	return crowded
}

// crowdedVoter returns a voter, not this one, whose domain has another.
func (p VoterPlan) crowdedVoter() (raft.Member, bool) {
	for _, member := range p.Status.Membership.Members {
		if member.Voter && member.ID != p.Status.ID && p.votersIn(member.Domain) > 1 {
			return member, true
		}
	}
	return raft.Member{}, false
}

// demoteOne makes a learner again of one voter too many.
func (p VoterPlan) demoteOne() (raft.Membership, string) {
	member, ok := p.crowdedVoter()
	if !ok {
		member, ok = p.lastVoter()
	}
	if !ok {
		return raft.Membership{}, ""
	}
	member.Voter = false
	return p.Status.Membership.With(member), "made learner of " + member.Name
}

// lastVoter returns the voter that was listed last, other than this one.
func (p VoterPlan) lastVoter() (raft.Member, bool) {
	for i := len(p.Status.Membership.Members) - 1; i >= 0; i-- {
		member := p.Status.Membership.Members[i]
		if member.Voter && member.ID != p.Status.ID {
			return member, true
		}
	}
	return raft.Member{}, false
}
