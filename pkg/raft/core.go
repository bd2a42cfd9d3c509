package raft

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

const (
	entryOverhead     = 24
	defaultElection   = 500 * time.Millisecond
	defaultHeartbeat  = 80 * time.Millisecond
	defaultBatchBytes = 1 << 20
	defaultWindow     = 8192
	// preVoteParts is how many pre-votes fit into an election timeout.
	preVoteParts    = 4
	snapshotTimeout = 30 * time.Second
	// driftParts is the part of the election timeout, one in so many, that
	// a leader's lease gives away to the drift of two clocks.
	driftParts = 10
	// neverAcked lies before every clock reading.
	neverAcked = time.Duration(math.MinInt64 / 2)
)

// Errors returned to those who propose.
var (
	ErrNotLeader      = errors.New("replica is not the leader")
	ErrLeaderChanging = errors.New("leadership is being handed over")
	ErrMembership     = errors.New("membership change is not allowed now")
)

// CoreConfig sets up a Core. Zero durations and sizes take the defaults.
type CoreConfig struct {
	ID         ID
	Election   time.Duration
	Heartbeat  time.Duration
	BatchBytes int
	// Window is how many entries may be on their way to one replica.
	Window uint64
	Seed   uint64
}

// Restored is what a replica had synced before it started.
type Restored struct {
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// Ready is what has to be done after one or more steps, in this order:
// send Early, install Snapshot, persist Hard and Entries and sync, call
// Core.Advance, send Late, apply Committed, answer Reads.
type Ready struct {
	Early     []Message
	Late      []Message
	Snapshot  *SnapshotMeta
	Hard      HardState
	HardDirty bool
	Entries   []Entry
	Committed []Entry
	Reads     []ReadState
	// FailedReads are reads whose replica has lost the leadership.
	FailedReads []uint64
}

// ReadState tells that the read with the token is linearizable once the
// index has been applied.
type ReadState struct {
	Token uint64
	Index uint64
}

type progress struct {
	match      uint64
	next       uint64
	probing    bool
	probeSent  bool
	snapshotAt time.Duration
	snapshot   uint64
	// acked is the send time of the newest message that was answered.
	acked  time.Duration
	active time.Duration
}

type pendingRead struct {
	token uint64
	index uint64
	at    time.Duration
}

// Core is the protocol of one replica. It reads no clock and does no I/O;
// time is the caller's monotonic clock. It is not safe for several
// goroutines.
type Core struct {
	cfg  CoreConfig
	rand *rand.Rand
	now  time.Duration

	term   uint64
	vote   ID
	role   Role
	leader ID

	log       memLog
	commit    uint64
	applied   uint64
	stable    uint64
	hard      HardState
	installed *SnapshotMeta

	// snap is the newest snapshot saved; the log in memory may reach back
	// behind it for replicas that are a little late.
	snap SnapshotMeta

	members      Membership
	membersIndex uint64
	progress     map[ID]*progress
	votes        map[ID]bool

	lastContact  time.Duration
	contacted    bool
	electionAt   time.Duration
	heartbeatAt  time.Duration
	leaderSince  time.Duration
	transferee   ID
	transferEnd  time.Duration
	leaseRevoked bool

	reads       []pendingRead
	readsReady  []ReadState
	failedReads []uint64
	early       []Message
	late        []Message
}

// NewCore returns a replica that continues from what it had synced.
func NewCore(cfg CoreConfig, state Restored, now time.Duration) *Core {
	if cfg.Election == 0 {
		cfg.Election = defaultElection
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.BatchBytes == 0 {
		cfg.BatchBytes = defaultBatchBytes
	}
	if cfg.Window == 0 {
		cfg.Window = defaultWindow
	}
	c := &Core{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now:    now,
		term:   state.Hard.Term,
		vote:   state.Hard.Vote,
		role:   RoleFollower,
		hard:   state.Hard,
		commit: max(state.Hard.Commit, state.Snapshot.Index),
	}
	c.log.base = state.Snapshot
	c.snap = state.Snapshot
	c.log.append(state.Entries...)
	c.commit = min(c.commit, c.log.last())
	c.applied = state.Snapshot.Index
	c.stable = c.log.last()
	c.members, c.membersIndex = c.log.membership()
	// A replica that restarts may have answered a leader just before, so it
	// keeps the promise of that answer for a whole election timeout.
	c.lastContact = now
	c.contacted = c.term > 0
	c.resetElection()
	return c
}

// Bootstrap returns the synced state of the first replica of a new group.
func Bootstrap(first Member) Restored {
	return BootstrapGroup(Membership{Members: []Member{first}})
}

// BootstrapGroup returns the synced state of every replica of a new group
// whose first members all know each other. All of them must be given the same
// membership.
func BootstrapGroup(members Membership) Restored {
	for i := range members.Members {
		members.Members[i].Voter = true
	}
	return Restored{
		Hard: HardState{
			Term:   1,
			Commit: 1,
		},
		Snapshot: SnapshotMeta{
			Index:      1,
			Term:       1,
			Membership: members,
		},
	}
}

// Status is a view of a replica.
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

// Status returns the replica's view now.
func (c *Core) Status() Status {
	return Status{
		ID:         c.cfg.ID,
		Term:       c.term,
		Role:       c.role,
		Leader:     c.leader,
		Commit:     c.commit,
		Applied:    c.applied,
		First:      c.log.first(),
		Last:       c.log.last(),
		Membership: c.members,
	}
}

// Step takes a message from another replica.
func (c *Core) Step(m Message, now time.Duration) {
	c.now = now
	if m.To != c.cfg.ID {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(m)
		return
	case MessageVote:
		if m.Term > c.term && c.promised() && !m.Transfer {
			return
		}
	case MessagePreVoteReply:
		c.onPreVoteReply(m)
		return
	}
	if m.Term > c.term {
		c.become(m.Term)
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

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now < c.electionAt {
		return
	}
	c.resetElection()
	if c.isVoter(c.cfg.ID) {
		c.askAgain()
		c.preCampaign()
	}
}

func (c *Core) tickLeader() {
	if c.now-max(c.quorumAcked(), c.leaderSince) > c.cfg.Election {
		c.become(c.term)
		return
	}
	if c.transferee != 0 && c.now >= c.transferEnd {
		c.become(c.term)
		return
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeat()
}

func (c *Core) heartbeat() {
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	for _, member := range c.members.Members {
		if member.ID != c.cfg.ID {
			c.sendHeartbeat(member.ID)
		}
	}
}

// Ready returns what has to be done and takes it off the core's hands.
func (c *Core) Ready() Ready {
	c.releaseReads()
	// A commit index must not reach the disk before the entries it covers:
	// after a crash between the two it would cover what stood there before.
	hard := HardState{
		Term:   c.term,
		Vote:   c.vote,
		Commit: min(c.commit, c.stable),
	}
	ready := Ready{
		Early:       c.early,
		Late:        c.late,
		Snapshot:    c.installed,
		Hard:        hard,
		HardDirty:   hard.Term != c.hard.Term || hard.Vote != c.hard.Vote,
		Entries:     c.log.slice(c.stable+1, c.log.last(), 1<<30),
		Committed:   c.log.slice(c.applied+1, c.commit, 1<<30),
		Reads:       c.readsReady,
		FailedReads: c.failedReads,
	}
	c.early, c.late, c.installed = nil, nil, nil
	c.readsReady, c.failedReads = nil, nil
	c.applied = max(c.applied, c.commit)
	return ready
}

// Advance tells that everything in the last Ready has been synced.
func (c *Core) Advance(ready Ready, now time.Duration) {
	c.now = now
	c.hard = ready.Hard
	if n := len(ready.Entries); n > 0 {
		c.stable = max(c.stable, ready.Entries[n-1].Index)
	}
	if c.role == RoleLeader {
		c.maybeCommit()
	}
}

// Meta returns what a snapshot of everything applied up to the index stands
// for. It tells false when that part of the log is not known or not newer
// than the last snapshot.
func (c *Core) Meta(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied || index <= c.snap.Index {
		return SnapshotMeta{}, false
	}
	membership, _ := c.log.membershipAt(index)
	return SnapshotMeta{
		Index:      index,
		Term:       term,
		Membership: membership,
	}, true
}

// Compact forgets the log that a saved snapshot stands for, but for the
// given number of trailing entries.
func (c *Core) Compact(meta SnapshotMeta, trailing uint64) {
	if meta.Index <= c.snap.Index {
		return
	}
	c.snap = meta
	if meta.Index <= trailing || meta.Index-trailing <= c.log.base.Index {
		return
	}
	base := SnapshotMeta{Index: meta.Index - trailing}
	base.Term, _ = c.log.term(base.Index)
	base.Membership, _ = c.log.membershipAt(base.Index)
	c.log.compact(base)
}

// Retained returns the newest snapshot and the entries behind it.
func (c *Core) Retained() (SnapshotMeta, []Entry) {
	return c.snap, c.log.slice(c.snap.Index+1, c.log.last(), 1<<30)
}

func (c *Core) isVoter(id ID) bool {
	member, ok := c.members.Find(id)
	return ok && member.Voter
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.membership()
	if c.role != RoleLeader {
		return
	}
	next := make(map[ID]*progress, len(c.members.Members))
	for _, member := range c.members.Members {
		pr := c.progress[member.ID]
		if pr == nil {
			pr = &progress{
				next:    c.log.last() + 1,
				probing: true,
				active:  c.now,
				acked:   neverAcked,
			}
		}
		next[member.ID] = pr
	}
	c.progress = next
}

// become makes the replica a follower in the term.
func (c *Core) become(term uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = RoleFollower
	c.leader = 0
	c.transferee = 0
	c.leaseRevoked = false
	c.progress = nil
	for _, read := range c.reads {
		c.failedReads = append(c.failedReads, read.token)
	}
	c.reads = nil
	c.resetElection()
}

func (c *Core) resetElection() {
	spread := time.Duration(c.rand.Int64N(int64(c.cfg.Election)))
	c.electionAt = c.now + c.cfg.Election + spread
}

// askAgain has the next pre-vote come soon. One is mostly refused because the
// others' promise to the old leader ends some milliseconds later; it changes
// no state, so it may be repeated.
func (c *Core) askAgain() {
	least := c.cfg.Election / preVoteParts
	c.electionAt = c.now + least + time.Duration(c.rand.Int64N(int64(least)))
}

// promised tells whether the replica has lately answered a live leader, to
// which it owes not to vote for another.
func (c *Core) promised() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.contacted && c.now-c.lastContact < c.cfg.Election
}
