package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entriesFrom returns entries of term 2 from the first index to the last.
func entriesFrom(first, last uint64) []Entry {
	var entries []Entry
	for i := first; i <= last; i++ {
		entries = append(entries, Entry{
			Index: i,
			Term:  2,
			Kind:  EntryCommand,
			Data:  []byte{byte(i)},
		})
	}
	return entries
}

// appendOf returns an append of leader 2 with the entries from first to last.
func appendOf(first, last, commit uint64) Message {
	m := Message{
		Kind:    MessageAppend,
		From:    2,
		To:      1,
		Term:    2,
		Index:   first - 1,
		LogTerm: 2,
		Entries: entriesFrom(first, last),
		Commit:  commit,
		SentAt:  time.Duration(last),
	}
	if first == 2 {
		m.LogTerm = 1
	}
	return m
}

// deliver passes the message to the core, syncs, and returns the replies.
func deliver(core *Core, m Message) []Message {
	core.Step(m, core.now+time.Millisecond)
	ready := core.Ready()
	core.Advance(ready, core.now)
	return ready.MessagesAfterSync
}

// An append that is sent again over another connection arrives twice and late. It must
// not truncate entries that were synced after it, nor hide the entries that it has beyond
// the commit index.
func TestRepeatedAppendKeepsSyncedEntries(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	for _, m := range []Message{
		appendOf(2, 4, 1), appendOf(5, 9, 4), appendOf(2, 4, 1), appendOf(5, 9, 4), appendOf(5, 7, 7),
	} {
		for _, reply := range deliver(core, m) {
			c.Check(reply.Reject, qt.IsFalse)
			c.Check(reply.SentAt, qt.Equals, m.SentAt)
		}
	}
	c.Check(core.log.lastIndex(), qt.Equals, uint64(9))
	c.Check(core.stable, qt.Equals, uint64(9))
	c.Check(core.commit, qt.Equals, uint64(7))
	replies := deliver(core, appendOf(3, 12, 7))
	c.Assert(replies, qt.HasLen, 1)
	c.Check(replies[0].Index, qt.Equals, uint64(12))
	c.Check(core.stable, qt.Equals, uint64(12))
}

// An append that overtook the one before it was dropped, and the leader had to send it
// again after the rejection.
func TestAppendThatOvertookIsKept(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	c.Check(deliver(core, appendOf(2, 3, 1))[0].Reject, qt.IsFalse)
	early := deliver(core, appendOf(6, 8, 1))
	c.Assert(early, qt.HasLen, 1)
	c.Check(early[0].Reject, qt.IsTrue)
	c.Check(early[0].SentAt, qt.Equals, time.Duration(8))
	c.Check(core.log.lastIndex(), qt.Equals, uint64(3))
	replies := deliver(core, appendOf(4, 5, 1))
	c.Check(replies[len(replies)-1].Index, qt.Equals, uint64(8))
	c.Check(core.stable, qt.Equals, uint64(8))
	c.Check(core.early, qt.HasLen, 0)
}

// Entries of a deposed leader that were kept must not be taken over in a later term.
func TestKeptAppendOfOldTermIsDropped(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	deliver(core, appendOf(2, 3, 1))
	deliver(core, appendOf(6, 8, 1))
	m := appendOf(4, 5, 1)
	m.Term = 3
	deliver(core, m)
	c.Check(core.log.lastIndex(), qt.Equals, uint64(5))
	c.Check(core.early, qt.HasLen, 0)
}

// replyOf returns a reply of replica 2 to the leader.
func replyOf(core *Core, index uint64, reject bool) Message {
	m := Message{
		Kind:   MessageAppendReply,
		From:   2,
		To:     1,
		Term:   core.term,
		Index:  index,
		Reject: reject,
		SentAt: core.now,
	}
	if reject {
		m.Hint = core.progress[2].match
	}
	return m
}

// A rejection while entries are on their way must count as a sign of life and not start
// the search for the common index; one after a wait must start it once, however often it
// is repeated.
func TestRejectionsDoNotRepeatProbing(t *testing.T) {
	c := qt.New(t)
	core := newThreeVoterCore()
	electCore(c, core, time.Millisecond)
	deliver(core, replyOf(core, core.log.lastIndex(), false))
	pr := core.progress[2]
	base := pr.match
	for range 5 {
		_, _, err := core.Propose([]byte("x"))
		c.Assert(err, qt.IsNil)
		core.Flush()
	}
	deliver(core, replyOf(core, base+3, true))
	c.Check(pr.probing, qt.IsFalse)
	c.Check(pr.next, qt.Equals, base+6)
	c.Check(core.now-pr.ackedSendTime <= time.Millisecond, qt.IsTrue)

	core.now += core.lossTimeout(pr)
	probes := 0
	for range 10 {
		core.Step(replyOf(core, base+5, true), core.now)
		ready := core.Ready()
		core.Advance(ready, core.now)
		for _, m := range ready.MessagesBeforeSync {
			if m.To == 2 {
				c.Check(m.Entries, qt.HasLen, 0)
				probes++
			}
		}
	}
	c.Check(pr.probing, qt.IsTrue)
	c.Check(probes, qt.Equals, 1)
	deliver(core, replyOf(core, base, false))
	c.Check(pr.probing, qt.IsFalse)
	c.Check(pr.next, qt.Equals, base+6)
}
