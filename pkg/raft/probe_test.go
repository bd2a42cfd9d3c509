package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testElection = 100 * time.Millisecond

// oneOfThree returns replica 1 of a group of three voters.
func oneOfThree() *Core {
	return NewCore(CoreConfig{
		ID:        1,
		Election:  testElection,
		Heartbeat: testElection / 5,
		Seed:      1,
	}, BootstrapGroup(Membership{
		Members: []Member{
			{ID: 1, Voter: true},
			{ID: 2, Voter: true},
			{ID: 3, Voter: true},
		},
	}), 0)
}

// Pattern: all replicas restart at about the same time. The first pre-vote
// comes before the others' promises have ended and is refused; the next must
// not wait for another election timeout.
func TestPreVoteIsRepeatedSoon(t *testing.T) {
	core := oneOfThree()
	var asked []time.Duration
	for now := time.Duration(0); now < 10*testElection; now += time.Millisecond {
		core.Tick(now)
		ready := core.Ready()
		core.Advance(ready, now)
		if len(ready.Late) > 0 {
			asked = append(asked, now)
		}
	}
	c := qt.New(t)
	c.Assert(len(asked) > 2, qt.IsTrue)
	c.Check(asked[0] >= testElection, qt.IsTrue)
	for i, at := range asked[1:] {
		c.Check(at-asked[i] <= testElection/2, qt.IsTrue, qt.Commentf("%v", asked))
	}
}

// Pattern: a follower is cut off while the leader takes commands. What is sent
// to it meanwhile must not grow with the log, as it all arrives, and takes the
// leader's memory, when the cut heals.
func TestSilentFollowerIsProbedWithoutEntries(t *testing.T) {
	c := qt.New(t)
	core := oneOfThree()
	now := time.Duration(0)
	carried := 0
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
			for _, m := range append(ready.Early, ready.Late...) {
				switch {
				case m.To == 3:
					carried += len(m.Entries)
				case m.Kind == MessageAppend:
					core.Step(Message{
						Kind:  MessageAppendReply,
						From:  2,
						To:    1,
						Term:  m.Term,
						Index: m.Index + uint64(len(m.Entries)),
						Sent:  m.Sent,
					}, now)
				case m.Kind == MessagePreVote || m.Kind == MessageVote:
					core.Step(Message{
						Kind: m.Kind + 1,
						From: 2,
						To:   1,
						Term: m.Term,
					}, now)
				}
			}
			if len(ready.Early)+len(ready.Late)+len(ready.Committed) == 0 {
				break
			}
		}
	}
	c.Assert(core.role, qt.Equals, RoleLeader)
	c.Assert(core.commit > 200, qt.IsTrue)
	c.Assert(carried, qt.Equals, 0)
}
