package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// delayedReply is a reply that arrives at a later time.
type delayedReply struct {
	message Message
	at      time.Duration
}

// lagTest drives a leader with voters 1 and 2 and learner 3. A command is proposed every
// millisecond. Voter 2 replies at once, and learner 3 after a delay.
type lagTest struct {
	core    *Core
	now     time.Duration
	lag     time.Duration
	replies []delayedReply
	// idle means that nothing is proposed.
	idle bool
}

func newLagTest(c *qt.C, lag time.Duration) *lagTest {
	l := &lagTest{
		core: newThreeVoterCore(),
		now:  time.Millisecond,
		lag:  lag,
	}
	l.now = electCore(c, l.core, l.now)
	demoted, _ := l.core.membership.Find(3)
	demoted.Voter = false
	l.runFor(testElectionTimeout)
	_, _, err := l.core.ProposeMembership(l.core.membership.With(demoted))
	c.Assert(err, qt.IsNil)
	l.runFor(testElectionTimeout)
	return l
}

func (l *lagTest) runFor(duration time.Duration) {
	for end := l.now + duration; l.now < end; l.now += time.Millisecond {
		l.core.Tick(l.now)
		if !l.idle {
			l.propose()
		}
		l.exchange()
	}
}

func (l *lagTest) propose() {
	if _, _, err := l.core.Propose([]byte("x")); err == nil {
		l.core.Flush()
	}
}

// exchange sends what the core has to send, and delivers the replies that are due.
func (l *lagTest) exchange() {
	ready := l.core.Ready()
	l.core.Advance(ready, l.now)
	for _, m := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
		if m.Kind != MessageAppend {
			continue
		}
		delay := time.Duration(0)
		if m.To == 3 {
			delay = l.lag
		}
		l.replies = append(l.replies, delayedReply{
			message: Message{
				Kind:   MessageAppendReply,
				From:   m.To,
				To:     1,
				Term:   m.Term,
				Index:  m.Index + uint64(len(m.Entries)),
				SentAt: m.SentAt,
			},
			at: l.now + delay,
		})
	}
	later := l.replies[:0]
	for _, reply := range l.replies {
		if reply.at > l.now {
			later = append(later, reply)
			continue
		}
		l.core.Step(reply.message, l.now)
	}
	l.replies = later
}

// A learner that keeps up with a steady stream of commands never has the entry that was
// committed last at the moment of a look. It must be promoted all the same: otherwise a
// lost voter is not replaced while there is load.
func TestLearnerIsPromotedUnderSteadyLoad(t *testing.T) {
	c := qt.New(t)
	l := newLagTest(c, 8*time.Millisecond)
	behind := l.core.progress[3].match < l.core.commit
	c.Assert(behind, qt.IsTrue)
	promoted, _ := l.core.membership.Find(3)
	promoted.Voter = true
	c.Assert(l.core.CaughtUp(3), qt.IsTrue)
	_, _, err := l.core.ProposeMembership(l.core.membership.With(promoted))
	c.Assert(err, qt.IsNil)
}

// A learner that has just gone silent must not be promoted in place of a lost voter: the
// new quorum could not be reached, and a group that had one would have none.
func TestSilentLearnerIsNotPromoted(t *testing.T) {
	c := qt.New(t)
	l := newLagTest(c, 0)
	c.Assert(l.core.CaughtUp(3), qt.IsTrue)
	l.idle = true
	l.runFor(testElectionTimeout)
	l.lag = time.Hour
	l.runFor(testElectionTimeout + time.Millisecond)
	promoted, _ := l.core.membership.Find(3)
	promoted.Voter = true
	_, _, err := l.core.ProposeMembership(l.core.membership.With(promoted))
	c.Check(err, qt.ErrorIs, ErrMembershipChange)
}

// A learner that is far behind must not become a voter: commits would wait for it.
func TestLearnerFarBehindIsNotPromoted(t *testing.T) {
	c := qt.New(t)
	l := newLagTest(c, testElectionTimeout)
	promoted, _ := l.core.membership.Find(3)
	promoted.Voter = true
	c.Assert(l.core.CaughtUp(3), qt.IsFalse)
	_, _, err := l.core.ProposeMembership(l.core.membership.With(promoted))
	c.Assert(err, qt.ErrorIs, ErrMembershipChange)
}

// Two changes that are made from one look at the membership must not undo each other:
// the second would drop the learner that the first has added, which then never learns
// that it is no member.
func TestMembershipChangeFromOldLookIsRefused(t *testing.T) {
	c := qt.New(t)
	l := newLagTest(c, 0)
	look := l.core.membership
	_, _, err := l.core.ProposeMembership(look.With(Member{ID: 4}))
	c.Assert(err, qt.IsNil)
	l.runFor(testElectionTimeout)
	_, _, err = l.core.ProposeMembership(look.Without(3))
	c.Assert(err, qt.ErrorIs, ErrMembershipChange)
	_, found := l.core.membership.Find(4)
	c.Assert(found, qt.IsTrue)
	_, _, err = l.core.ProposeMembership(l.core.membership.Without(3))
	c.Assert(err, qt.IsNil)
}

// A new replica may be killed while it installs the snapshot that the leader has sent. It
// is sent another one as soon as that shows: until then it can't replace a lost voter.
func TestSnapshotIsSentAgainAfterReceiverRestarts(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	now := electCore(c, core, time.Millisecond)
	var snapshots []Message
	// lead lets time pass, in which replica 2 accepts all appends and replica 3, whose
	// log is empty, rejects them.
	lead := func(duration time.Duration) {
		for end := now + duration; now < end; now += time.Millisecond {
			core.Tick(now)
			_, _, err := core.Propose([]byte("x"))
			c.Assert(err, qt.IsNil)
			core.Flush()
			ready := core.Ready()
			core.Advance(ready, now)
			for _, m := range append(ready.MessagesBeforeSync, ready.MessagesAfterSync...) {
				if m.Kind == MessageSnapshot {
					snapshots = append(snapshots, m)
				}
				if m.Kind != MessageAppend {
					continue
				}
				reply := Message{
					Kind:   MessageAppendReply,
					From:   m.To,
					To:     1,
					Term:   m.Term,
					Index:  m.Index + uint64(len(m.Entries)),
					SentAt: m.SentAt,
				}
				if m.To == 3 {
					reply.Index = m.Index
					reply.Reject = true
				}
				core.Step(reply, now)
			}
		}
	}
	lead(testElectionTimeout)
	meta, ok := core.SnapshotMetaAt(core.applied)
	c.Assert(ok, qt.IsTrue)
	core.Compact(meta, 0)
	lead(testElectionTimeout)
	c.Assert(snapshots, qt.HasLen, 1)

	// The end of an earlier send tells nothing of this one.
	earlier := snapshots[0]
	earlier.SentAt--
	core.SnapshotFailed(earlier)
	core.SnapshotDelivered(earlier)
	// Rejections tell nothing while the snapshot is on its way.
	lead(10 * testElectionTimeout)
	c.Assert(snapshots, qt.HasLen, 1)
	core.SnapshotDelivered(snapshots[0])
	lead(testElectionTimeout)
	c.Assert(snapshots, qt.HasLen, 2)
}
