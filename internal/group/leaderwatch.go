package group

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// leaderlessCheckInterval is the time between two checks whether there is a leader.
	leaderlessCheckInterval = 500 * time.Millisecond
	// noLeaderAfter is after how long without a leader the first line is logged. An
	// election takes less. The line is repeated every noLeaderInterval.
	noLeaderAfter    = 2 * time.Second
	noLeaderInterval = 5 * time.Second
)

// Answers of peers, as they are logged. A peer that knows the leader answers its address.
const (
	answerNone     = "no-answer"
	answerNoGroup  = "no-group"
	answerNoLeader = "no-leader"
)

// leaderWatch logs why this instance has no leader, for as long as it has none.
type leaderWatch struct {
	host      *Host
	startedAt time.Time

	mu sync.Mutex
	// answers has the last answer of each peer that was asked for the leader.
	answers map[string]string
	// refused has the last vote that this replica refused to each candidate.
	refused map[raft.ID]raft.RefusedVote
}

func newLeaderWatch(h *Host) *leaderWatch {
	return &leaderWatch{
		host:      h,
		startedAt: time.Now(),
		answers:   map[string]string{},
		refused:   map[raft.ID]raft.RefusedVote{},
	}
}

// run checks periodically whether there is a leader, until the host stops.
func (w *leaderWatch) run() {
	var loggedAt time.Time
	for SleepContext(w.host.ctx, leaderlessCheckInterval) {
		silence := w.host.LeaderSilence()
		if silence < noLeaderAfter {
			continue
		}
		if time.Since(loggedAt) >= noLeaderInterval {
			loggedAt = time.Now()
			w.host.log.WithFields(w.fields(silence)).Warn("group: no leader")
		}
	}
}

// LeaderSilence returns the time since the leader last replied to this instance, or since
// the instance started if none ever has. It is zero on the leader.
func (h *Host) LeaderSilence() time.Duration {
	if h.isLeader() {
		return 0
	}
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	if h.router.confirmedAt.IsZero() {
		return time.Since(h.leaderWatch.startedAt)
	}
	return time.Since(h.router.confirmedAt)
}

// recordAnswer records what a peer said when it was asked for the leader.
func (w *leaderWatch) recordAnswer(address, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[address] = answer
}

// recordRefusal records a refused vote, and logs it unless it repeats the last one to the
// candidate.
func (w *leaderWatch) recordRefusal(vote raft.RefusedVote) {
	w.mu.Lock()
	last, known := w.refused[vote.Candidate]
	w.refused[vote.Candidate] = vote
	w.mu.Unlock()
	if known && last.Reason == vote.Reason && last.OwnTerm == vote.OwnTerm {
		return
	}
	w.host.log.WithFields(logrus.Fields{
		"candidate":      w.nameOf(vote.Candidate),
		"reason":         vote.Reason,
		"term":           vote.Term,
		"own-term":       vote.OwnTerm,
		"candidate-last": vote.CandidateLast,
		"own-last":       vote.OwnLast,
	}).Info("group: vote refused")
}

// describeHello returns what the reply of a peer says of the leader.
func describeHello(hello *wire.HelloReply) string {
	if hello.Cell == "" {
		return answerNoGroup
	}
	return cmp.Or(hello.Leader, answerNoLeader)
}

// fields returns what is known of the group: the state of the replica, if there is one, and
// what each known address answered.
func (w *leaderWatch) fields(silence time.Duration) logrus.Fields {
	fields := logrus.Fields{
		"for-ms": silence.Milliseconds(),
		"asked":  w.describeAnswers(),
	}
	replica := w.host.replica.Load()
	if replica == nil {
		fields["role"] = "no-replica"
		return fields
	}
	status := replica.Status()
	fields["role"] = status.Role.String()
	fields["term"] = status.Term
	fields["commit"] = status.Commit
	fields["last"] = status.Last
	fields["voters"] = w.describeVoters(status.Membership)
	fields["refused"] = w.describeRefusals()
	if err := replica.Err(); err != nil {
		fields["error"] = err.Error()
	}
	return fields
}

func (w *leaderWatch) describeAnswers() string {
	addresses := w.host.router.knownAddresses()
	w.mu.Lock()
	defer w.mu.Unlock()
	var answers []string
	for _, address := range addresses {
		answers = append(answers, address+"="+cmp.Or(w.answers[address], answerNone))
	}
	slices.Sort(answers)
	return strings.Join(answers, " ")
}

func (w *leaderWatch) describeVoters(membership raft.Membership) string {
	var voters []string
	for _, member := range membership.Members {
		if member.Voter {
			voters = append(voters, member.Address+"/"+strconv.FormatUint(uint64(member.ID), 10))
		}
	}
	slices.Sort(voters)
	return strings.Join(voters, " ")
}

func (w *leaderWatch) describeRefusals() string {
	w.mu.Lock()
	votes := make([]raft.RefusedVote, 0, len(w.refused))
	for _, vote := range w.refused {
		votes = append(votes, vote)
	}
	w.mu.Unlock()
	var refusals []string
	for _, vote := range votes {
		refusals = append(refusals, w.nameOf(vote.Candidate)+"="+string(vote.Reason))
	}
	slices.Sort(refusals)
	return strings.Join(refusals, " ")
}

// nameOf returns the address of the replica, or its ID if the address is not known.
func (w *leaderWatch) nameOf(id raft.ID) string {
	return cmp.Or(w.host.addressOf(id), strconv.FormatUint(uint64(id), 10))
}
