package raft

import (
	"bytes"
	"fmt"
	"time"
)

// choiceSource makes the random choices of a simulation.
type choiceSource interface {
	// pick returns a number in the half-open interval [0, n).
	pick(n int) int
}

// faultKind is an implementation fault injected to check that the simulation
// detects it.
type faultKind int

const (
	faultNone faultKind = iota
	// faultForgetVote loses the vote at a restart.
	faultForgetVote
	// faultLoseSyncedEntries loses synced entries at a restart.
	faultLoseSyncedEntries
	// faultReplyBeforeSync sends replies before the state they acknowledge has
	// been synced.
	faultReplyBeforeSync
	// faultReuseIDAfterDiskLoss lets a replica that lost its disk rejoin under
	// its old ID.
	faultReuseIDAfterDiskLoss
	// faultVoteAfterRestart lets a restarted replica vote immediately.
	faultVoteAfterRestart
	// faultClockDrift lets clocks drift by more than the lease allows.
	faultClockDrift
)

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 20 * time.Millisecond
)

// disk holds the synced state of a simulated replica.
type disk struct {
	hardState HardState
	snapshot  SnapshotMeta
	entries   []Entry
}

func (d *disk) persist(hardState HardState, entries []Entry) {
	d.hardState = hardState
	for _, e := range entries {
		for n := len(d.entries); n > 0 && d.entries[n-1].Index >= e.Index; n-- {
			d.entries = d.entries[:n-1]
		}
		d.entries = append(d.entries, e)
	}
}

type simReplica struct {
	id          ID
	core        *Core
	disk        *disk
	running     bool
	pausedUntil time.Duration
	// clockRate and clockOffset relate the replica's clock to simulated time.
	clockRate   float64
	clockOffset time.Duration
}

func (r *simReplica) clock(now time.Duration) time.Duration {
	return r.clockOffset + time.Duration(float64(now)*r.clockRate)
}

// delayedMessage is a message to be delivered at a later time.
type delayedMessage struct {
	at      time.Duration
	message Message
}

// simGroup simulates a group of replicas, with crashes, pauses, network faults,
// disk losses and membership changes, and checks the safety properties of Raft.
type simGroup struct {
	choices  choiceSource
	fault    faultKind
	now      time.Duration
	replicas map[ID]*simReplica
	// ids holds the IDs of the current replicas.
	ids    []ID
	lastID ID
	// delayed holds the messages in flight.
	delayed []delayedMessage
	// blockedLinks holds the pairs of sender and receiver whose messages are
	// lost.
	blockedLinks map[[2]ID]bool
	// lossPercent is the percentage of messages lost on the other links.
	lossPercent int
	// lanes replaces the random delays of messages, unless it is nil.
	lanes *simLanes

	// The fields below record what has been observed, for the checks.

	leaderOfTerm map[uint64]ID
	// voteInTerm maps a replica and a term to the candidate that it voted for.
	voteInTerm map[string]ID
	committed  map[uint64]Entry
	// acknowledged holds the committed commands whose proposer was notified.
	acknowledged     map[uint64][]byte
	lastAcknowledged uint64
	proposed         map[uint64][]byte
	// minReadIndex maps the token of a read to the last index acknowledged
	// before the read was requested.
	minReadIndex  map[uint64]uint64
	lastReadToken uint64
	lastCommand   int
	// lostReplica is the replica that has lost its disk and is still a member
	// of the group, or zero.
	lostReplica   ID
	commitCount   int
	electionCount int
}

func newSimGroup(choices choiceSource, fault faultKind, size int) *simGroup {
	s := &simGroup{
		choices:      choices,
		fault:        fault,
		replicas:     map[ID]*simReplica{},
		blockedLinks: map[[2]ID]bool{},
		leaderOfTerm: map[uint64]ID{},
		voteInTerm:   map[string]ID{},
		committed:    map[uint64]Entry{},
		acknowledged: map[uint64][]byte{},
		proposed:     map[uint64][]byte{},
		minReadIndex: map[uint64]uint64{},
	}
	var membership Membership
	for range size {
		s.lastID++
		membership.Members = append(membership.Members, Member{
			ID:    s.lastID,
			Voter: true,
		})
	}
	for _, member := range membership.Members {
		s.add(member.ID, &disk{
			hardState: HardState{
				Term:   1,
				Commit: 1,
			},
			snapshot: SnapshotMeta{
				Index:      1,
				Term:       1,
				Membership: membership,
			},
		})
	}
	return s
}

func (s *simGroup) add(id ID, d *disk) {
	drift := 0.03
	if s.fault == faultClockDrift {
		drift = 0.6
	}
	r := &simReplica{
		id:          id,
		disk:        d,
		clockRate:   1 - drift + 2*drift*float64(s.choices.pick(11))/10,
		clockOffset: time.Duration(s.choices.pick(1000)) * time.Second,
	}
	s.replicas[id] = r
	s.ids = append(s.ids, id)
	s.start(r)
}

func (s *simGroup) start(r *simReplica) {
	r.running = true
	r.core = NewCore(CoreConfig{
		ID:                r.id,
		ElectionTimeout:   simElectionTimeout,
		HeartbeatInterval: simHeartbeatInterval,
		MaxBatchBytes:     200,
		MaxInflight:       16,
		Seed:              uint64(s.choices.pick(1000)),
	}, PersistentState{
		HardState: r.disk.hardState,
		Snapshot:  r.disk.snapshot,
		Entries:   append([]Entry(nil), r.disk.entries...),
	}, r.clock(s.now))
	if s.fault == faultVoteAfterRestart {
		r.core.heardFromLeader = false
	}
}

// kill stops a replica and applies the injected fault to its disk.
func (s *simGroup) kill(r *simReplica) {
	r.running = false
	switch s.fault {
	case faultForgetVote:
		r.disk.hardState.Vote = 0
	case faultLoseSyncedEntries:
		r.disk.entries = r.disk.entries[:len(r.disk.entries)/2]
	}
}

// step performs a random action.
func (s *simGroup) step() error {
	r := s.replicas[s.ids[s.choices.pick(len(s.ids))]]
	switch action := s.choices.pick(100); {
	case action < 55:
		return s.advance(time.Duration(1+s.choices.pick(30)) * time.Millisecond)
	case action < 70:
		s.propose(r)
	case action < 73:
		s.read(r)
	case action < 76:
		s.blockLinks(r)
	case action < 79:
		s.isolateLeader()
	case action < 82:
		s.blockedLinks = map[[2]ID]bool{}
		s.lossPercent = s.choices.pick(3) * 10
	case action < 85:
		s.stopOrStart(r)
	case action < 90:
		s.restart(r)
	case action < 92:
		r.pausedUntil = s.now + time.Duration(s.choices.pick(400))*time.Millisecond
	case action < 94:
		s.compact(r)
	case action < 96:
		s.transfer(r)
	case action < 98:
		s.changeMembers(r)
	default:
		s.loseDisk(r)
	}
	return nil
}

// isolateLeader blocks all links of the leader with the highest term.
func (s *simGroup) isolateLeader() {
	var newest *simReplica
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.running && r.core.role == RoleLeader && (newest == nil || r.core.term > newest.core.term) {
			newest = r
		}
	}
	if newest == nil {
		return
	}
	for _, id := range s.ids {
		s.blockedLinks[[2]ID{newest.id, id}] = true
		s.blockedLinks[[2]ID{id, newest.id}] = true
	}
}

// restart stops a running replica and starts it again immediately. Sometimes it
// also restarts all running replicas that do not lead.
func (s *simGroup) restart(r *simReplica) {
	if r.running {
		s.kill(r)
		s.start(r)
	}
	if s.choices.pick(3) > 0 {
		return
	}
	for _, id := range s.ids {
		if other := s.replicas[id]; other.running && other.core.role != RoleLeader {
			s.kill(other)
			s.start(other)
		}
	}
}

// alive reports whether the replica is running and not paused.
func (s *simGroup) alive(r *simReplica) bool {
	return r.running && r.pausedUntil <= s.now
}

func (s *simGroup) propose(r *simReplica) {
	for _, id := range s.ids {
		if other := s.replicas[id]; s.alive(other) && other.core.role == RoleLeader {
			r = other
		}
	}
	if !s.alive(r) {
		return
	}
	s.lastCommand++
	data := []byte(fmt.Sprintf("command-%d", s.lastCommand))
	index, _, err := r.core.Propose(data)
	if err != nil {
		return
	}
	s.proposed[index] = data
	r.core.Flush()
}

func (s *simGroup) read(r *simReplica) {
	if !s.alive(r) {
		return
	}
	s.lastReadToken++
	r.core.now = max(r.core.now, r.clock(s.now))
	if r.core.Read(s.lastReadToken) == nil {
		s.minReadIndex[s.lastReadToken] = s.lastAcknowledged
	}
}

func (s *simGroup) blockLinks(r *simReplica) {
	other := s.ids[s.choices.pick(len(s.ids))]
	switch s.choices.pick(3) {
	case 0:
		s.blockedLinks[[2]ID{r.id, other}] = true
	case 1:
		s.blockedLinks[[2]ID{r.id, other}] = true
		s.blockedLinks[[2]ID{other, r.id}] = true
	default:
		for _, id := range s.ids {
			s.blockedLinks[[2]ID{r.id, id}] = true
			s.blockedLinks[[2]ID{id, r.id}] = true
		}
	}
}

func (s *simGroup) stopOrStart(r *simReplica) {
	if r.running {
		s.kill(r)
		return
	}
	s.start(r)
}

func (s *simGroup) compact(r *simReplica) {
	if !s.alive(r) {
		return
	}
	meta, ok := r.core.SnapshotMetaAt(r.core.applied)
	if !ok {
		return
	}
	r.core.Compact(meta, uint64(s.choices.pick(4)))
	kept, entries := r.core.Retained()
	r.disk.snapshot = kept
	r.disk.entries = nil
	for _, e := range entries {
		if e.Index <= r.core.stable {
			r.disk.entries = append(r.disk.entries, e)
		}
	}
}

func (s *simGroup) transfer(r *simReplica) {
	if s.alive(r) {
		_ = r.core.Transfer(s.ids[s.choices.pick(len(s.ids))])
	}
}

// changeMembers adds a learner, promotes a learner, or removes a member.
func (s *simGroup) changeMembers(r *simReplica) {
	if !s.alive(r) || r.core.role != RoleLeader {
		return
	}
	membership := r.core.membership
	target := membership.Members[s.choices.pick(len(membership.Members))]
	switch {
	case !target.Voter:
		target.Voter = true
		_, _, _ = r.core.ProposeMembership(membership.With(target))
	case s.lostReplica != 0:
		_, _, _ = r.core.ProposeMembership(membership.Without(s.lostReplica))
	case len(s.ids) < 9:
		s.lastID++
		s.add(s.lastID, &disk{})
		_, _, _ = r.core.ProposeMembership(membership.With(Member{ID: s.lastID}))
	case len(membership.Voters()) > 3:
		_, _, _ = r.core.ProposeMembership(membership.Without(target.ID))
	}
}

// loseDisk replaces a replica that has lost its disk with a new one under a new ID.
// No other disk is lost until the old ID has been removed from the membership.
func (s *simGroup) loseDisk(r *simReplica) {
	if s.lostReplica != 0 || s.commitCount == 0 || s.electionCount == 0 {
		return
	}
	if s.fault == faultReuseIDAfterDiskLoss {
		r.disk = &disk{snapshot: SnapshotMeta{
			Index:      1,
			Term:       1,
			Membership: r.disk.snapshot.Membership,
		}, hardState: HardState{Term: 1}}
		s.start(r)
		return
	}
	s.lostReplica = r.id
	s.kill(r)
	r.disk = &disk{}
	for i, id := range s.ids {
		if id == r.id {
			s.ids = append(s.ids[:i], s.ids[i+1:]...)
			break
		}
	}
	delete(s.replicas, r.id)
	s.lastID++
	s.add(s.lastID, &disk{})
}

// advance advances the simulated time, delivers the messages that are due, and
// does the work of each replica.
func (s *simGroup) advance(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += time.Millisecond
		s.deliver()
		for _, id := range append([]ID(nil), s.ids...) {
			r := s.replicas[id]
			if !s.alive(r) {
				continue
			}
			r.core.Tick(r.clock(s.now))
			if err := s.process(r); err != nil {
				return err
			}
		}
		if err := s.checkLeases(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simGroup) deliver() {
	var later []delayedMessage
	pending := s.delayed
	s.delayed = nil
	for _, d := range pending {
		r := s.replicas[d.message.To]
		switch {
		case d.at > s.now:
			later = append(later, d)
		case r == nil || !r.running:
		case r.pausedUntil > s.now:
			later = append(later, d)
		default:
			r.core.Step(d.message, r.clock(s.now))
			s.confirmSnapshot(d.message)
		}
	}
	s.delayed = append(later, s.delayed...)
}

// confirmSnapshot tells the sender of a snapshot that it has been delivered.
func (s *simGroup) confirmSnapshot(m Message) {
	sender := s.replicas[m.From]
	if m.Kind == MessageSnapshot && sender != nil && s.alive(sender) {
		sender.core.SnapshotDelivered(m)
	}
}

func (s *simGroup) send(messages []Message) {
	for _, m := range messages {
		if s.blockedLinks[[2]ID{m.From, m.To}] || s.choices.pick(100) < s.lossPercent {
			continue
		}
		if s.lanes != nil {
			s.delayed = append(s.delayed, s.lanes.send(m, s.now, s.choices)...)
			continue
		}
		copies := 1
		if s.lossPercent > 0 && s.choices.pick(20) == 0 {
			copies = 2
		}
		for range copies {
			s.delayed = append(s.delayed, delayedMessage{
				at:      s.now + time.Duration(1+s.choices.pick(3+s.lossPercent))*time.Millisecond,
				message: m,
			})
		}
	}
}

// process does the work of the Replica type, and may crash before it is complete.
func (s *simGroup) process(r *simReplica) error {
	ready := r.core.Ready()
	s.send(ready.MessagesBeforeSync)
	if s.fault == faultReplyBeforeSync {
		s.send(ready.MessagesAfterSync)
	}
	crash := s.lossPercent > 0 && len(ready.Entries) > 0 && s.choices.pick(60) == 0
	if ready.Snapshot != nil {
		r.disk.snapshot = *ready.Snapshot
		r.disk.entries = nil
	}
	if crash {
		persisted := s.choices.pick(len(ready.Entries) + 1)
		if s.fault != faultReplyBeforeSync {
			r.disk.persist(ready.HardState, ready.Entries[:persisted])
		}
		s.kill(r)
		return nil
	}
	if ready.HardStateChanged || len(ready.Entries) > 0 {
		r.disk.persist(ready.HardState, ready.Entries)
	}
	r.core.Advance(ready, r.clock(s.now))
	if s.fault != faultReplyBeforeSync {
		s.send(ready.MessagesAfterSync)
	}
	if err := s.checkVotes(ready.MessagesAfterSync); err != nil {
		return err
	}
	if err := s.checkCommitted(r, ready.Committed); err != nil {
		return err
	}
	for _, read := range ready.Reads {
		if required := s.minReadIndex[read.Token]; read.Index < required {
			return fmt.Errorf("read at index %d misses entry %d, which was acknowledged before the read", read.Index, required)
		}
	}
	return s.checkLeader(r)
}

// checkVotes checks that a replica votes for one candidate per term.
func (s *simGroup) checkVotes(messages []Message) error {
	for _, m := range messages {
		if m.Kind != MessageVoteReply || m.Reject {
			continue
		}
		key := fmt.Sprintf("%d/%d", m.From, m.Term)
		if other, ok := s.voteInTerm[key]; ok && other != m.To {
			return fmt.Errorf("replica %d votes for %d and %d in term %d", m.From, other, m.To, m.Term)
		}
		s.voteInTerm[key] = m.To
	}
	return nil
}

// checkCommitted checks that all replicas commit the same entry at an index.
func (s *simGroup) checkCommitted(r *simReplica, entries []Entry) error {
	for _, e := range entries {
		known, ok := s.committed[e.Index]
		if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
			return fmt.Errorf("entry %d committed as term %d %q and term %d %q",
				e.Index, known.Term, known.Data, e.Term, e.Data)
		}
		s.committed[e.Index] = e
		s.commitCount++
		if e.Kind == EntryMembership && s.lostReplica != 0 {
			if _, in := decodeMembership(e.Data).Find(s.lostReplica); !in {
				s.lostReplica = 0
			}
		}
		if r.core.role == RoleLeader && bytes.Equal(s.proposed[e.Index], e.Data) {
			s.acknowledged[e.Index] = e.Data
			s.lastAcknowledged = max(s.lastAcknowledged, e.Index)
		}
	}
	return nil
}

// checkLeader checks that a term has only one leader, and that the leader's log
// contains all entries committed in earlier terms.
func (s *simGroup) checkLeader(r *simReplica) error {
	if r.core.role != RoleLeader {
		return nil
	}
	known, ok := s.leaderOfTerm[r.core.term]
	if ok && known != r.id {
		return fmt.Errorf("term %d has leaders %d and %d", r.core.term, known, r.id)
	}
	if ok {
		return nil
	}
	s.leaderOfTerm[r.core.term] = r.id
	s.electionCount++
	for index, e := range s.committed {
		if index <= r.core.log.base.Index || e.Term >= r.core.term {
			continue
		}
		if term, found := r.core.log.term(index); !found || term != e.Term {
			return fmt.Errorf("leader %d of term %d lacks committed entry %d", r.id, r.core.term, index)
		}
	}
	return nil
}

// checkLeases checks that no replica leads a later term while another replica
// holds a lease.
func (s *simGroup) checkLeases() error {
	for _, id := range s.ids {
		r := s.replicas[id]
		if !r.running || r.core.LeaseUntil() <= r.clock(s.now) {
			continue
		}
		for _, other := range s.ids {
			otherReplica := s.replicas[other]
			if other != id && otherReplica.running && otherReplica.core.role == RoleLeader && otherReplica.core.term > r.core.term {
				return fmt.Errorf("replica %d holds a lease in term %d while %d leads term %d",
					id, r.core.term, other, otherReplica.core.term)
			}
		}
	}
	return nil
}

// healAndCheck removes all faults. It then checks that no acknowledged entry was
// lost and that the group can commit entries again.
func (s *simGroup) healAndCheck() error {
	s.blockedLinks = map[[2]ID]bool{}
	s.lossPercent = 0
	s.lanes = nil
	for _, id := range s.ids {
		r := s.replicas[id]
		r.pausedUntil = 0
		if !r.running {
			s.start(r)
		}
	}
	if err := s.advance(3 * time.Second); err != nil {
		return err
	}
	for index, data := range s.acknowledged {
		if e, ok := s.committed[index]; !ok || !bytes.Equal(e.Data, data) {
			return fmt.Errorf("acknowledged entry %d is lost", index)
		}
	}
	before := s.commitCount
	s.propose(s.replicas[s.ids[0]])
	if err := s.advance(time.Second); err != nil {
		return err
	}
	if s.commitCount == before && s.lostReplica == 0 {
		return fmt.Errorf("group commits nothing after all faults were removed")
	}
	return nil
}

// runSimulation runs a simulation with the given number of steps.
func runSimulation(choices choiceSource, fault faultKind, steps int) error {
	size := []int{3, 5, 7}[choices.pick(3)]
	return newSimGroup(choices, fault, size).run(steps)
}

// run performs the number of random actions after a leader had time to be elected.
func (s *simGroup) run(steps int) error {
	if err := s.advance(400 * time.Millisecond); err != nil {
		return err
	}
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return s.healAndCheck()
}
