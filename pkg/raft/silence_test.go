package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// electCore lets time pass until the core leads, with the votes of replica 2, and
// returns the time. Replica 3 never replies.
func electCore(c *qt.C, core *Core, now time.Duration) time.Duration {
	for end := now + 10*testElectionTimeout; core.role != RoleLeader && now < end; now += time.Millisecond {
		core.Tick(now)
		answerAsReplica2(core, now)
	}
	c.Assert(core.role, qt.Equals, RoleLeader)
	return now
}

// answerAsReplica2 answers all messages of the core to replica 2.
func answerAsReplica2(core *Core, now time.Duration) {
	ready := core.Ready()
	core.Advance(ready, now)
	for _, m := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
		if m.To != 2 || (m.Kind != MessageAppend && m.Kind != MessagePreVote && m.Kind != MessageVote) {
			continue
		}
		core.Step(Message{
			// The kind of a reply follows that of its request.
			Kind:   m.Kind + 1,
			From:   2,
			To:     1,
			Term:   m.Term,
			Index:  m.Index + uint64(len(m.Entries)),
			SentAt: m.SentAt,
		}, now)
	}
}

// leadFor lets the core lead for the duration and returns the time.
func leadFor(core *Core, now, duration time.Duration) time.Duration {
	for end := now + duration; now < end; now += time.Millisecond {
		core.Tick(now)
		answerAsReplica2(core, now)
	}
	return now
}

// A member that is lost for good would never be replaced if each new leader counted
// its silence from its own start, and leaders changed often enough. So a new leader
// goes on counting from what the leader before it has told.
func TestSilenceIsCountedAcrossLeaders(t *testing.T) {
	c := qt.New(t)
	const silence = 50 * testElectionTimeout
	core := newThreeVoterCore()
	now := time.Millisecond
	core.Step(Message{
		Kind:    MessageAppend,
		From:    2,
		To:      1,
		Term:    2,
		Index:   1,
		LogTerm: 1,
		Silent: []Silence{
			{
				ID:  3,
				For: silence,
			},
		},
	}, now)
	now = electCore(c, core, now)

	// The member may reply to this leader, so it is not silent at once.
	c.Check(core.Observe().SinceLastReply[3] < testElectionTimeout, qt.IsTrue)
	now = leadFor(core, now, ownObservationTimeouts*testElectionTimeout)
	c.Check(core.Observe().SinceLastReply[3] > silence, qt.IsTrue, qt.Commentf("%v", core.Observe().SinceLastReply))
	c.Check(core.Observe().SinceLastReply[2] < testElectionTimeout, qt.IsTrue)

	// This leader tells its followers in turn.
	told := time.Duration(0)
	for _, m := range core.silentMembers() {
		if m.ID == 3 {
			told = m.For
		}
	}
	c.Check(told > silence, qt.IsTrue)

	// A leader that steps down and is elected again counts on, too.
	core.becomeFollower(core.term + 1)
	now = electCore(c, core, now)
	leadFor(core, now, ownObservationTimeouts*testElectionTimeout)
	c.Check(core.Observe().SinceLastReply[3] > silence, qt.IsTrue)
}

// A member that was silent before and replies to the new leader keeps its place.
func TestReplyEndsSilenceTakenOver(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	now := time.Millisecond
	core.Step(Message{
		Kind:    MessageAppend,
		From:    3,
		To:      1,
		Term:    2,
		Index:   1,
		LogTerm: 1,
		Silent: []Silence{
			{
				ID:  2,
				For: time.Minute,
			},
		},
	}, now)
	now = electCore(c, core, now)
	for range 5 {
		now = leadFor(core, now, testElectionTimeout)
		c.Check(core.Observe().SinceLastReply[2] < testElectionTimeout, qt.IsTrue)
	}
	// The old leader was last heard from when it sent its message, at 1 ms. The core's
	// time is that of the last tick.
	c.Check(core.Observe().SinceLastReply[3], qt.Equals, now-2*time.Millisecond)
}

// A replica that was suspended has heard from nobody meanwhile. It must not take that for
// the silence of members that replied all the time, and have them replaced.
func TestSuspensionIsNoSilenceOfOthers(t *testing.T) {
	c := qt.New(t)
	const suspension = 100 * testElectionTimeout
	core := newThreeVoterCore()
	now := electCore(c, core, time.Millisecond)
	now = leadFor(core, now, 5*testElectionTimeout)
	silent := core.Observe().SinceLastReply[3]
	now += suspension
	core.Tick(now)
	c.Assert(core.role, qt.Equals, RoleFollower)
	now = electCore(c, core, now)
	now = leadFor(core, now, 3*testElectionTimeout)
	got := core.Observe().SinceLastReply
	c.Check(got[2] < testElectionTimeout, qt.IsTrue)
	c.Check(got[3] > silent && got[3] < silent+suspension/2, qt.IsTrue, qt.Commentf("%s, %s before", got[3], silent))

	core.becomeFollower(core.term + 1)
	core.Step(Message{
		Kind:    MessageAppend,
		From:    3,
		To:      1,
		Term:    core.term,
		Index:   1,
		LogTerm: 1,
	}, now)
	now += suspension
	now = electCore(c, core, now)
	leadFor(core, now, 3*testElectionTimeout)
	c.Check(core.Observe().SinceLastReply[3] < suspension/2, qt.IsTrue)
}

// A leader that wakes up from a suspension may have been deposed. It must not change the
// membership by what it knew before.
func TestLeaderWithoutFreshQuorumChangesNoMembership(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	now := electCore(c, core, time.Millisecond)
	now = leadFor(core, now, testElectionTimeout)
	core.advance(now + 10*testElectionTimeout)
	_, _, err := core.ProposeMembership(core.membership.Without(3))
	c.Check(err, qt.ErrorIs, ErrMembershipChange)
}

// A leader that commits its own removal is no longer the leader when it handles the reply
// that committed it.
func TestLeaderRemovesItself(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	now := electCore(c, core, time.Millisecond)
	now = leadFor(core, now, testElectionTimeout)
	_, _, err := core.ProposeMembership(core.membership.Without(1))
	c.Assert(err, qt.IsNil)
	for range 10 {
		for _, id := range []ID{2, 3} {
			core.Step(Message{
				Kind:   MessageAppendReply,
				From:   id,
				To:     1,
				Term:   core.term,
				Index:  core.log.lastIndex(),
				SentAt: now,
			}, now)
		}
	}
	c.Check(core.role, qt.Equals, RoleFollower)
}
