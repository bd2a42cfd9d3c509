package raft

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

const (
	// entryOverhead is the size in bytes that an entry counts in addition to its
	// data.
	entryOverhead            = 24
	defaultElectionTimeout   = 500 * time.Millisecond
	defaultHeartbeatInterval = 80 * time.Millisecond
	defaultMaxBatchBytes     = 1 << 20
	// defaultMaxInflight is a number of entries.
	defaultMaxInflight = 8192
	// noByteLimit is the limit in bytes for slices of the log that must be
	// complete. It is assumed to exceed the size of the log in memory.
	noByteLimit = 1 << 30
	// preVotesPerElection is the maximum number of pre-votes started within an
	// election timeout.
	preVotesPerElection = 4
	// snapshotTimeout is the time after which an unacknowledged snapshot counts as
	// lost.
	snapshotTimeout = 30 * time.Second
	// leaseDriftDivisor sets how much shorter than the election timeout a leader's
	// lease is, to allow for clock drift: by a tenth of the timeout.
	leaseDriftDivisor = 10
	// lossTimeoutDivisor sets, as a part of the election timeout, how long a leader
	// waits for progress before it takes a rejection as a sign that entries were lost.
	// A connection that is overdue is replaced within less than that.
	lossTimeoutDivisor = 2
	// maxLossBackoff is how many times in succession that wait doubles at most.
	maxLossBackoff = 3
	// maxEarlyBytes is the maximum size of the appends that a follower keeps until the
	// entries before them arrive.
	maxEarlyBytes = 1 << 20
	// neverAcked is earlier than every clock reading.
	neverAcked = time.Duration(math.MinInt64 / 2)
)

// Errors returned by proposals, reads and leadership transfers.
var (
	ErrNotLeader          = errors.New("replica is not the leader")
	ErrLeadershipTransfer = errors.New("leadership is being handed over")
	ErrMembershipChange   = errors.New("membership change is not allowed now")
)

// CoreConfig configures a Core. Zero durations and sizes select the defaults.
type CoreConfig struct {
	ID ID
	// ElectionTimeout is the minimum election timeout. The timeout is
	// randomized between this and twice this.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the heartbeat interval of the leader.
	HeartbeatInterval time.Duration
	// MaxBatchBytes limits the size of the entries in one append message. A
	// message always carries at least one entry.
	MaxBatchBytes int
	// MaxInflight is the maximum number of unacknowledged entries sent to one
	// replica.
	MaxInflight uint64
	// Seed seeds the randomization of the election timeout.
	Seed uint64
}

// PersistentState is the state that a replica had synced before it started.
type PersistentState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
}

// Ready holds the work that is due after one or more steps. The caller must do
// it in this order: send MessagesBeforeSync, install Snapshot, persist and sync
// HardState and Entries, call Core.Advance, send MessagesAfterSync, apply
// Committed, answer Reads.
type Ready struct {
	MessagesBeforeSync []Message
	MessagesAfterSync  []Message
	Snapshot           *SnapshotMeta
	HardState          HardState
	// HardStateChanged is set if the term or the vote has changed. The commit
	// index alone need not be persisted.
	HardStateChanged bool
	Entries          []Entry
	Committed        []Entry
	Reads            []ReadState
	// FailedReads holds the tokens of reads that failed because the replica lost
	// its leadership.
	FailedReads []uint64
}

// ReadState reports that the read with the given token is linearizable once the
// entry at Index has been applied.
type ReadState struct {
	Token uint64
	Index uint64
}

// progress is the leader's view of the log of another replica.
type progress struct {
	// match is the highest index known to be replicated.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set while the leader looks for the index up to which the logs
	// agree.
	probing   bool
	probeSent bool
	// advancedAt is when match last rose, or when entries were sent while none were in
	// flight if that is later.
	advancedAt time.Duration
	// losses counts how often entries counted as lost since match last rose.
	losses int
	// pendingSnapshot is the index of the snapshot being sent, or zero.
	pendingSnapshot uint64
	snapshotSentAt  time.Duration
	// snapshotDelivered is set once the replica has received the pending snapshot,
	// at snapshotDeliveredAt.
	snapshotDelivered   bool
	snapshotDeliveredAt time.Duration
	// ackedSendTime is the time at which the latest acknowledged message was sent.
	ackedSendTime time.Duration
	// lastReplyAt is the time at which the latest reply was received.
	lastReplyAt time.Duration
}

type pendingRead struct {
	token       uint64
	index       uint64
	requestedAt time.Duration
}

// Core implements the protocol for one replica. It performs no I/O and reads no
// clock: the caller passes in the time of a monotonic clock. It is not safe for
// concurrent use.
type Core struct {
	cfg  CoreConfig
	rand *rand.Rand
	now  time.Duration

	term   uint64
	vote   ID
	role   Role
	leader ID

	log     memLog
	commit  uint64
	applied uint64
	// stable is the index of the last synced entry.
	stable uint64
	// hardState is the hard state of the last Advance. Its term and vote are
	// synced.
	hardState HardState
	// installed is a snapshot accepted from the leader that the caller has not
	// picked up yet, or nil.
	installed *SnapshotMeta

	// snapshot is the newest saved snapshot. The log in memory may contain
	// earlier entries, for replicas that are slightly behind.
	snapshot SnapshotMeta

	membership      Membership
	membershipIndex uint64
	progress        map[ID]*progress
	votes           map[ID]bool
	// lastHeard holds when members were last heard from, as far as a replica that
	// does not lead knows: the leader itself, and members that do not reply to it.
	lastHeard map[ID]time.Duration

	lastLeaderContact time.Duration
	heardFromLeader   bool
	electionDeadline  time.Duration
	nextHeartbeat     time.Duration
	leaderSince       time.Duration
	marks             commitMarks
	transferee        ID
	transferDeadline  time.Duration
	leaseRevoked      bool
	// early holds appends that arrived before the entries that they follow.
	early []Message

	lostLeads    []LostLead
	refusedVotes []RefusedVote
	pendingReads []pendingRead
	readyReads   []ReadState
	failedReads  []uint64
	beforeSync   []Message
	afterSync    []Message
}

// NewCore returns a replica that resumes from its persistent state.
func NewCore(cfg CoreConfig, state PersistentState, now time.Duration) *Core {
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = defaultElectionTimeout
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultMaxBatchBytes
	}
	if cfg.MaxInflight == 0 {
		cfg.MaxInflight = defaultMaxInflight
	}
	c := &Core{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now:       now,
		term:      state.HardState.Term,
		vote:      state.HardState.Vote,
		role:      RoleFollower,
		hardState: state.HardState,
		commit:    max(state.HardState.Commit, state.Snapshot.Index),
	}
	c.log.base = state.Snapshot
	c.snapshot = state.Snapshot
	c.log.append(state.Entries...)
	c.commit = min(c.commit, c.log.lastIndex())
	c.applied = state.Snapshot.Index
	c.stable = c.log.lastIndex()
	c.membership, c.membershipIndex = c.log.membership()
	// A restarted replica may have acknowledged a leader's message just before
	// it stopped, and the leader's lease relies on that acknowledgement.
	// Therefore it grants no votes for a whole election timeout.
	c.lastLeaderContact = now
	c.heardFromLeader = c.term > 0
	c.resetElectionDeadline()
	return c
}

// Bootstrap returns the initial state of the only replica of a new group.
func Bootstrap(first Member) PersistentState {
	return BootstrapGroup(Membership{Members: []Member{first}})
}

// BootstrapGroup returns the initial state of each replica of a new group with
// the given members, all of which become voters. Every replica must be started
// with the same membership.
func BootstrapGroup(membership Membership) PersistentState {
	for i := range membership.Members {
		membership.Members[i].Voter = true
	}
	return PersistentState{
		HardState: HardState{
			Term:   1,
			Commit: 1,
		},
		Snapshot: SnapshotMeta{
			Index:      1,
			Term:       1,
			Membership: membership,
		},
	}
}

// Status is the state of a replica as seen by itself.
type Status struct {
	ID         ID
	Term       uint64
	Role       Role
	Leader     ID
	Commit     uint64
	Applied    uint64
	First      uint64
	Last       uint64
	Membership Membership
}

// Status returns the current status.
func (c *Core) Status() Status {
	return Status{
		ID:         c.cfg.ID,
		Term:       c.term,
		Role:       c.role,
		Leader:     c.leader,
		Commit:     c.commit,
		Applied:    c.applied,
		First:      c.log.firstIndex(),
		Last:       c.log.lastIndex(),
		Membership: c.membership,
	}
}

// Step processes a message from another replica.
func (c *Core) Step(m Message, now time.Duration) {
	c.advance(now)
	if m.To != c.cfg.ID {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(m)
		return
	case MessageVote:
		if m.Term > c.term && c.inLeaderLease() && !m.Transfer {
			c.recordRefusal(m, RefusalLeaderAlive)
			return
		}
	case MessagePreVoteReply:
		c.onPreVoteReply(m)
		return
	}
	if m.Term > c.term {
		c.recordLoss(LossHigherTerm, m.From, m.Term)
		c.becomeFollower(m.Term)
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m Message) {
	switch m.Kind {
	case MessageVote:
		c.onVote(m)
	case MessageVoteReply:
		c.onVoteReply(m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendReply:
		c.onAppendReply(m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageTimeoutNow:
		if m.Term == c.term && c.role == RoleFollower && c.isVoter(c.cfg.ID) {
			c.campaign(true)
		}
	}
}

// Tick advances the time and handles timeouts that have expired.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now < c.electionDeadline {
		return
	}
	c.resetElectionDeadline()
	if c.isVoter(c.cfg.ID) {
		c.schedulePreVoteRetry()
		c.preCampaign()
	}
}

func (c *Core) tickLeader() {
	c.markCommit()
	if !c.hasFreshQuorum() {
		c.recordLoss(LossNoQuorum, 0, 0)
		c.becomeFollower(c.term)
		return
	}
	if c.transferee != 0 && c.now >= c.transferDeadline {
		c.recordLoss(LossTransferTimeout, 0, 0)
		c.becomeFollower(c.term)
		return
	}
	if c.now < c.nextHeartbeat {
		return
	}
	c.heartbeat()
}

func (c *Core) heartbeat() {
	c.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	for _, member := range c.membership.Members {
		if member.ID != c.cfg.ID {
			c.sendHeartbeat(member.ID)
		}
	}
}

// Ready returns the work that is due. Each item is returned only once, except
// that HardState and Entries are repeated until Advance is called.
func (c *Core) Ready() Ready {
	c.confirmReads()
	// The commit index must not be persisted before the entries it covers.
	// After a crash between the two it would cover the entries that were
	// stored at these indexes before.
	hardState := HardState{
		Term:   c.term,
		Vote:   c.vote,
		Commit: min(c.commit, c.stable),
	}
	ready := Ready{
		MessagesBeforeSync: c.beforeSync,
		MessagesAfterSync:  c.afterSync,
		Snapshot:           c.installed,
		HardState:          hardState,
		HardStateChanged:   hardState.Term != c.hardState.Term || hardState.Vote != c.hardState.Vote,
		Entries:            c.log.slice(c.stable+1, c.log.lastIndex(), noByteLimit),
		Committed:          c.log.slice(c.applied+1, c.commit, noByteLimit),
		Reads:              c.readyReads,
		FailedReads:        c.failedReads,
	}
	c.beforeSync, c.afterSync, c.installed = nil, nil, nil
	c.readyReads, c.failedReads = nil, nil
	c.applied = max(c.applied, c.commit)
	return ready
}

// Advance records that everything in the last Ready has been synced.
func (c *Core) Advance(ready Ready, now time.Duration) {
	c.now = now
	c.hardState = ready.HardState
	if n := len(ready.Entries); n > 0 {
		c.stable = max(c.stable, ready.Entries[n-1].Index)
	}
	if c.role == RoleLeader {
		c.maybeCommit()
	}
}

func (c *Core) isVoter(id ID) bool {
	member, ok := c.membership.Find(id)
	return ok && member.Voter
}

// refreshMembership takes over the newest membership in the log. On the leader it
// also starts tracking members that were added and stops tracking removed ones.
func (c *Core) refreshMembership() {
	c.membership, c.membershipIndex = c.log.membership()
	if c.role != RoleLeader {
		return
	}
	updated := make(map[ID]*progress, len(c.membership.Members))
	for _, member := range c.membership.Members {
		pr := c.progress[member.ID]
		if pr == nil {
			pr = &progress{
				next:          c.log.lastIndex() + 1,
				probing:       true,
				lastReplyAt:   c.lastHeardFrom(member.ID),
				ackedSendTime: neverAcked,
			}
		}
		updated[member.ID] = pr
	}
	c.progress = updated
}

// becomeFollower makes the replica a follower in the given term.
func (c *Core) becomeFollower(term uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == RoleLeader {
		c.keepLastReplies()
	}
	c.role = RoleFollower
	c.leader = 0
	c.transferee = 0
	c.leaseRevoked = false
	c.progress = nil
	for _, read := range c.pendingReads {
		c.failedReads = append(c.failedReads, read.token)
	}
	c.pendingReads = nil
	c.resetElectionDeadline()
}

func (c *Core) resetElectionDeadline() {
	jitter := time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout)))
	c.electionDeadline = c.now + c.cfg.ElectionTimeout + jitter
}

// schedulePreVoteRetry schedules the next pre-vote after a fraction of the
// election timeout. A pre-vote is usually rejected because the lease of the old
// leader expires at the other replicas some milliseconds later. It changes no
// state, so it can be retried early.
func (c *Core) schedulePreVoteRetry() {
	delay := c.cfg.ElectionTimeout / preVotesPerElection
	c.electionDeadline = c.now + delay + time.Duration(c.rand.Int64N(int64(delay)))
}

// inLeaderLease reports whether the replica leads, or has heard from a leader
// within the election timeout. It must then not vote for another replica, because
// the leader's lease relies on it.
func (c *Core) inLeaderLease() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.heardFromLeader && c.now-c.lastLeaderContact < c.cfg.ElectionTimeout
}
