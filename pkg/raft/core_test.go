package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testElectionTimeout = 100 * time.Millisecond

// newThreeVoterCore returns replica 1 of a group of three voters.
func newThreeVoterCore() *Core {
	return NewCore(CoreConfig{
		ID:                1,
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testElectionTimeout / 5,
		Seed:              1,
	}, BootstrapGroup(Membership{
		Members: []Member{
			{ID: 1, Voter: true},
			{ID: 2, Voter: true},
			{ID: 3, Voter: true},
		},
	}), 0)
}

// TestPreVoteRetry checks that a rejected pre-vote is retried before another
// election timeout has passed. When all replicas restart at about the same time,
// the first pre-vote is rejected because the other replicas withhold their votes
// for an election timeout after a restart.
func TestPreVoteRetry(t *testing.T) {
	core := newThreeVoterCore()
	var sentAt []time.Duration
	for now := time.Duration(0); now < 10*testElectionTimeout; now += time.Millisecond {
		core.Tick(now)
		ready := core.Ready()
		core.Advance(ready, now)
		if len(ready.MessagesAfterSync) > 0 {
			sentAt = append(sentAt, now)
		}
	}
	c := qt.New(t)
	c.Assert(len(sentAt) > 2, qt.IsTrue)
	c.Check(sentAt[0] >= testElectionTimeout, qt.IsTrue)
	for i, at := range sentAt[1:] {
		c.Check(at-sentAt[i] <= testElectionTimeout/2, qt.IsTrue, qt.Commentf("%v", sentAt))
	}
}

// TestUnreachableFollowerGetsNoEntries checks that the leader sends no entries to a
// follower that does not reply while the leader accepts commands. Otherwise the
// messages grow with the log: they take up memory on the leader, and all of them
// are delivered when the connection is restored.
func TestUnreachableFollowerGetsNoEntries(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	now := time.Duration(0)
	sentEntries := 0
	for range 300 {
		now += 5 * time.Millisecond
		core.Tick(now)
		if core.role == RoleLeader {
			_, _, err := core.Propose(make([]byte, 100))
			c.Assert(err, qt.IsNil)
			core.Flush()
		}
		for {
			ready := core.Ready()
			core.Advance(ready, now)
			for _, m := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
				switch {
				case m.To == 3:
					sentEntries += len(m.Entries)
				case m.Kind == MessageAppend:
					core.Step(Message{
						Kind:   MessageAppendReply,
						From:   2,
						To:     1,
						Term:   m.Term,
						Index:  m.Index + uint64(len(m.Entries)),
						SentAt: m.SentAt,
					}, now)
				case m.Kind == MessagePreVote || m.Kind == MessageVote:
					core.Step(Message{
						// The kind of a reply follows that of its request.
						Kind: m.Kind + 1,
						From: 2,
						To:   1,
						Term: m.Term,
					}, now)
				}
			}
			if len(ready.MessagesBeforeSync)+len(ready.MessagesAfterSync)+len(ready.Committed) == 0 {
				break
			}
		}
	}
	c.Assert(core.role, qt.Equals, RoleLeader)
	c.Assert(core.commit > 200, qt.IsTrue)
	c.Assert(sentEntries, qt.Equals, 0)
}
