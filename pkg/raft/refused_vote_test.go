package raft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A candidate is told only that its vote was refused, so the replica that refuses has to
// keep the reason: without it a group that elects nobody can't be told from one without a
// quorum.
func TestRefusedVotesHaveReasons(t *testing.T) {
	members := Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	vote := func(kind MessageKind, from ID, term, last, lastTerm uint64) Message {
		return Message{
			Kind:    kind,
			From:    from,
			To:      1,
			Term:    term,
			Index:   last,
			LogTerm: lastTerm,
		}
	}
	tests := []struct {
		name     string
		at       time.Duration
		messages []Message
		want     []VoteRefusal
	}{
		{
			name:     "after a start a leader may be alive",
			messages: []Message{vote(MessagePreVote, 2, 2, 9, 9), vote(MessageVote, 2, 2, 9, 9)},
			want:     []VoteRefusal{RefusalLeaderAlive, RefusalLeaderAlive},
		},
		{
			name:     "older log",
			at:       time.Second,
			messages: []Message{vote(MessagePreVote, 2, 2, 0, 0), vote(MessageVote, 2, 2, 0, 0)},
			want:     []VoteRefusal{RefusalOldLog, RefusalOldLog},
		},
		{
			name:     "term that is over",
			at:       time.Second,
			messages: []Message{vote(MessagePreVote, 2, 1, 9, 9), vote(MessageVote, 2, 0, 9, 9)},
			want:     []VoteRefusal{RefusalStaleTerm, RefusalStaleTerm},
		},
		{
			name:     "one vote a term",
			at:       time.Second,
			messages: []Message{vote(MessageVote, 2, 2, 9, 9), vote(MessageVote, 3, 2, 9, 9)},
			want:     []VoteRefusal{RefusalVoted},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core := NewCore(CoreConfig{ID: 1}, BootstrapGroup(members), 0)
			for _, m := range test.messages {
				core.Step(m, test.at)
			}
			var got []VoteRefusal
			for _, refused := range core.TakeRefusedVotes() {
				got = append(got, refused.Reason)
			}
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(core.TakeRefusedVotes(), qt.HasLen, 0)
		})
	}
}
