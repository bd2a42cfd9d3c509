package group

import (
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// responsiveWithin is how recent the latest reply of a responsive member is.
const responsiveWithin = time.Second

// forgetLearnerAfter is how long a learner may be unresponsive before it is removed. One
// that returns joins again.
const forgetLearnerAfter = time.Minute

// Obstacle is a reason why an unresponsive voter is not replaced.
type Obstacle string

// Obstacles, as they are logged.
const (
	// ObstacleNotDue means that the voter has not been unresponsive for long enough.
	ObstacleNotDue Obstacle = "not-due"
	// ObstacleNoLearner means that no responsive learner could take its place.
	ObstacleNoLearner Obstacle = "no-learner"
	// ObstacleLearnersBehind means that none of the responsive learners has caught up.
	ObstacleLearnersBehind Obstacle = "learners-behind"
)

// VoterPlan computes the next change of the membership.
type VoterPlan struct {
	// Status is the status of the leader, which is the replica that plans.
	Status raft.Status
	// SinceLastReply is the time since the latest reply of each other member.
	SinceLastReply map[raft.ID]time.Duration
	// VoterCount is the desired number of voters.
	VoterCount int
	// ReplaceAfter is how long a voter may be unresponsive before a learner
	// replaces it.
	ReplaceAfter time.Duration
	// Leading is how long the replica has led.
	Leading time.Duration
	// CaughtUp reports whether the member keeps up with the log.
	CaughtUp func(raft.ID) bool
}

// NextChange returns the next membership and a description of the change, or ""
// if no change is needed. A change removes, promotes or demotes one member.
//
// A lost voter is removed before a learner takes its place. While both were voters, the
// group would stand on the learner, which may be lost too until it counts as caught up.
func (p VoterPlan) NextChange() (raft.Membership, string) {
	if old, ok := p.replacedReplica(); ok {
		return p.Status.Membership.Without(old.ID), "removed lost replica of " + old.Name
	}
	voters := len(p.Status.Membership.Voters())
	learner, hasLearner := p.bestLearner()
	unresponsive, hasUnresponsive := p.unresponsiveVoter()
	mayPromote := hasLearner && p.keepsQuorumWithoutNewVoter()
	switch {
	case hasUnresponsive && (hasLearner || voters > p.VoterCount):
		return p.Status.Membership.Without(unresponsive.ID), "removed unresponsive voter " + unresponsive.Name
	case voters < p.VoterCount && mayPromote:
		return p.promote(learner)
	case voters > p.VoterCount && p.allVotersReply():
		return p.demoteVoter()
	case voters == p.VoterCount && mayPromote && p.improvesSpread(learner):
		return p.promote(learner)
	}
	if lost, ok := p.lostLearner(); ok {
		return p.Status.Membership.Without(lost.ID), "removed unresponsive learner " + lost.Name
	}
	return raft.Membership{}, ""
}

// keepsQuorumWithoutNewVoter reports whether the voters that respond would still be a
// quorum if a learner were made a voter and lost right after that. A single voter can't
// get a second one otherwise.
func (p VoterPlan) keepsQuorumWithoutNewVoter() bool {
	voters, responsive := 0, 0
	for _, member := range p.Status.Membership.Members {
		if !member.Voter {
			continue
		}
		voters++
		if p.silenceOf(member) < responsiveWithin {
			responsive++
		}
	}
	return voters == 1 || responsive > (voters+1)/2
}

func (p VoterPlan) promote(learner raft.Member) (raft.Membership, string) {
	learner.Voter = true
	return p.Status.Membership.With(learner), "promoted " + learner.Name + " to voter"
}

// replacedReplica returns an unresponsive member whose instance has rejoined
// under another replica ID.
func (p VoterPlan) replacedReplica() (raft.Member, bool) {
	for _, old := range p.Status.Membership.Members {
		if p.SinceLastReply[old.ID] < responsiveWithin || old.ID == p.Status.ID {
			continue
		}
		for _, other := range p.Status.Membership.Members {
			if other.Name == old.Name && other.ID != old.ID && p.SinceLastReply[other.ID] < responsiveWithin {
				return old, true
			}
		}
	}
	return raft.Member{}, false
}

// silenceOf returns the time since the latest reply of the member. It is zero for
// the leader itself.
func (p VoterPlan) silenceOf(member raft.Member) time.Duration {
	if member.ID == p.Status.ID {
		return 0
	}
	return p.SinceLastReply[member.ID]
}

// Obstacle returns why a voter that does not respond stays in the group, or "" if all
// voters respond or the next change brings a replacement nearer.
func (p VoterPlan) Obstacle() Obstacle {
	if !p.hasSilentVoter(responsiveWithin) {
		return ""
	}
	if _, change := p.NextChange(); change != "" {
		return ""
	}
	if _, due := p.unresponsiveVoter(); !due {
		return ObstacleNotDue
	}
	for _, member := range p.Status.Membership.Members {
		if !member.Voter && p.silenceOf(member) < responsiveWithin {
			return ObstacleLearnersBehind
		}
	}
	return ObstacleNoLearner
}

// hasSilentVoter reports whether a voter has not replied for the duration.
func (p VoterPlan) hasSilentVoter(duration time.Duration) bool {
	for _, member := range p.Status.Membership.Members {
		if member.Voter && member.ID != p.Status.ID && p.silenceOf(member) >= duration {
			return true
		}
	}
	return false
}

// allVotersReply reports whether all voters have replied lately, and to this leader. A
// surplus voter is not demoted before: the one to remove may be among the others.
func (p VoterPlan) allVotersReply() bool {
	return p.Leading > 0 && !p.hasSilentVoter(min(responsiveWithin, p.Leading))
}

// unresponsiveVoter returns a voter that has been unresponsive for the
// ReplaceAfter time.
func (p VoterPlan) unresponsiveVoter() (raft.Member, bool) {
	for _, member := range p.Status.Membership.Members {
		if member.Voter && member.ID != p.Status.ID && p.SinceLastReply[member.ID] >= p.ReplaceAfter {
			return member, true
		}
	}
	return raft.Member{}, false
}

// lostLearner returns a learner that has been unresponsive for forgetLearnerAfter.
func (p VoterPlan) lostLearner() (raft.Member, bool) {
	for _, member := range p.Status.Membership.Members {
		if !member.Voter && p.silenceOf(member) >= forgetLearnerAfter {
			return member, true
		}
	}
	return raft.Member{}, false
}

// bestLearner returns the responsive learner that has caught up and whose
// failure domain has the fewest live voters. Ties go to the lowest name.
func (p VoterPlan) bestLearner() (raft.Member, bool) {
	var learners []raft.Member
	for _, member := range p.Status.Membership.Members {
		if !member.Voter && p.SinceLastReply[member.ID] < responsiveWithin && p.CaughtUp(member.ID) {
			learners = append(learners, member)
		}
	}
	if len(learners) == 0 {
		return raft.Member{}, false
	}
	sort.Slice(learners, func(i, j int) bool {
		a, b := p.liveVotersIn(learners[i].Domain), p.liveVotersIn(learners[j].Domain)
		if a != b {
			return a < b
		}
		return learners[i].Name < learners[j].Name
	})
	return learners[0], true
}

// liveVotersIn counts the voters in the failure domain that have not been
// unresponsive for the ReplaceAfter time.
func (p VoterPlan) liveVotersIn(domain string) int {
	count := 0
	for _, member := range p.Status.Membership.Members {
		live := member.ID == p.Status.ID || p.SinceLastReply[member.ID] < p.ReplaceAfter
		if member.Voter && live && member.Domain == domain {
			count++
		}
	}
	return count
}

// improvesSpread reports whether promoting the learner would spread the voters
// over more failure domains: its own has no live voter and another has several.
func (p VoterPlan) improvesSpread(learner raft.Member) bool {
	if p.liveVotersIn(learner.Domain) > 0 {
		return false
	}
	_, colocated := p.colocatedVoter()
	return colocated
}

// colocatedVoter returns a voter other than the leader that shares its failure
// domain with another live voter.
func (p VoterPlan) colocatedVoter() (raft.Member, bool) {
	for _, member := range p.Status.Membership.Members {
		if member.Voter && member.ID != p.Status.ID && p.liveVotersIn(member.Domain) > 1 {
			return member, true
		}
	}
	return raft.Member{}, false
}

// demoteVoter demotes a surplus voter to learner, preferably one that shares its
// failure domain with another.
func (p VoterPlan) demoteVoter() (raft.Membership, string) {
	member, ok := p.colocatedVoter()
	if !ok {
		member, ok = p.lastVoter()
	}
	if !ok {
		return raft.Membership{}, ""
	}
	member.Voter = false
	return p.Status.Membership.With(member), "demoted " + member.Name + " to learner"
}

// lastVoter returns the last voter in the membership other than the leader.
func (p VoterPlan) lastVoter() (raft.Member, bool) {
	for i := len(p.Status.Membership.Members) - 1; i >= 0; i-- {
		member := p.Status.Membership.Members[i]
		if member.Voter && member.ID != p.Status.ID {
			return member, true
		}
	}
	return raft.Member{}, false
}
