package raft

import (
	"bytes"
	"fmt"
	"time"
)

// chooser picks among possibilities: rapid's in the fuzzing itself, a seeded
// random source where deliberate breaks are looked for.
type chooser interface {
	pick(n int) int
}

// breakKind is a deliberate break that the oracle must find.
type breakKind int

const (
	breakNone breakKind = iota
	// breakForgetVote loses term and vote at a restart.
	breakForgetVote
	// breakLoseSynced loses entries at a restart that had been synced.
	breakLoseSynced
	// breakAckFirst sends replies before what they promise is synced.
	breakAckFirst
	// breakOldSelf lets a replica with a lost disk come back as itself.
	breakOldSelf
	// breakNoPromise has a restarted replica vote at once.
	breakNoPromise
	// breakClock lets clocks drift by more than the lease allows for.
	breakClock
)

const (
	simElection  = 100 * time.Millisecond
	simHeartbeat = 20 * time.Millisecond
)

// disk is what a simulated replica has synced.
type disk struct {
	hard    HardState
	snap    SnapshotMeta
	entries []Entry
}

func (d *disk) persist(hard HardState, entries []Entry) {
	d.hard = hard
	for _, e := range entries {
		for n := len(d.entries); n > 0 && d.entries[n-1].Index >= e.Index; n-- {
			d.entries = d.entries[:n-1]
		}
		d.entries = append(d.entries, e)
	}
}

type simReplica struct {
	id     ID
	core   *Core
	disk   *disk
	up     bool
	paused time.Duration
	// rate and offset make its clock differ from the others'.
	rate   float64
	offset time.Duration
}

func (r *simReplica) clock(now time.Duration) time.Duration {
	return r.offset + time.Duration(float64(now)*r.rate)
}

type flight struct {
	at time.Duration
	m  Message
}

// world is a group of replicas with everything that can go wrong.
type world struct {
	choose   chooser
	broken   breakKind
	now      time.Duration
	replicas map[ID]*simReplica
	order    []ID
	nextID   ID
	net      []flight
	cut      map[[2]ID]bool
	lossy    int

	// What the oracle knows.
	leaders   map[uint64]ID
	votes     map[string]ID
	committed map[uint64]Entry
	acked     map[uint64][]byte
	lastAcked uint64
	proposed  map[uint64][]byte
	reads     map[uint64]uint64
	nextRead  uint64
	command   int
	lost      ID
	commits   int
	elections int
}

func newWorld(choose chooser, broken breakKind, size int) *world {
	w := &world{
		choose:    choose,
		broken:    broken,
		replicas:  map[ID]*simReplica{},
		cut:       map[[2]ID]bool{},
		leaders:   map[uint64]ID{},
		votes:     map[string]ID{},
		committed: map[uint64]Entry{},
		acked:     map[uint64][]byte{},
		proposed:  map[uint64][]byte{},
		reads:     map[uint64]uint64{},
	}
	var members Membership
	for range size {
		w.nextID++
		members.Members = append(members.Members, Member{
			ID:    w.nextID,
			Voter: true,
		})
	}
	for _, member := range members.Members {
		w.add(member.ID, &disk{
			hard: HardState{
				Term:   1,
				Commit: 1,
			},
			snap: SnapshotMeta{
				Index:      1,
				Term:       1,
				Membership: members,
			},
		})
	}
	return w
}

func (w *world) add(id ID, d *disk) {
	drift := 0.03
	if w.broken == breakClock {
		drift = 0.6
	}
	r := &simReplica{
		id:     id,
		disk:   d,
		rate:   1 - drift + 2*drift*float64(w.choose.pick(11))/10,
		offset: time.Duration(w.choose.pick(1000)) * time.Second,
	}
	w.replicas[id] = r
	w.order = append(w.order, id)
	w.start(r)
}

func (w *world) start(r *simReplica) {
	r.up = true
	r.core = NewCore(CoreConfig{
		ID:         r.id,
		Election:   simElection,
		Heartbeat:  simHeartbeat,
		BatchBytes: 200,
		Window:     16,
		Seed:       uint64(w.choose.pick(1000)),
	}, Restored{
		Hard:     r.disk.hard,
		Snapshot: r.disk.snap,
		Entries:  append([]Entry(nil), r.disk.entries...),
	}, r.clock(w.now))
	if w.broken == breakNoPromise {
		r.core.contacted = false
	}
}

func (w *world) kill(r *simReplica) {
	r.up = false
	switch w.broken {
	case breakForgetVote:
		r.disk.hard.Vote = 0
	case breakLoseSynced:
		r.disk.entries = r.disk.entries[:len(r.disk.entries)/2]
	}
}

// step lets one thing happen.
func (w *world) step() error {
	r := w.replicas[w.order[w.choose.pick(len(w.order))]]
	switch what := w.choose.pick(100); {
	case what < 55:
		return w.advance(time.Duration(1+w.choose.pick(30)) * time.Millisecond)
	case what < 70:
		w.propose(r)
	case what < 73:
		w.read(r)
	case what < 76:
		w.cutLink(r)
	case what < 79:
		w.isolateLeader()
	case what < 82:
		w.cut = map[[2]ID]bool{}
		w.lossy = w.choose.pick(3) * 10
	case what < 85:
		w.toggle(r)
	case what < 90:
		w.bounce(r)
	case what < 92:
		r.paused = w.now + time.Duration(w.choose.pick(400))*time.Millisecond
	case what < 94:
		w.compact(r)
	case what < 96:
		w.transfer(r)
	case what < 98:
		w.changeMembers(r)
	default:
		w.loseDisk(r)
	}
	return nil
}

// isolateLeader cuts the newest leader off from all others.
func (w *world) isolateLeader() {
	var newest *simReplica
	for _, id := range w.order {
		r := w.replicas[id]
		if r.up && r.core.role == RoleLeader && (newest == nil || r.core.term > newest.core.term) {
			newest = r
		}
	}
	if newest == nil {
		return
	}
	for _, id := range w.order {
		w.cut[[2]ID{newest.id, id}] = true
		w.cut[[2]ID{id, newest.id}] = true
	}
}

// bounce kills a replica and starts it again at once, and with it sometimes
// all the others that vote at the same time.
func (w *world) bounce(r *simReplica) {
	if r.up {
		w.kill(r)
		w.start(r)
	}
	if w.choose.pick(3) > 0 {
		return
	}
	for _, id := range w.order {
		if other := w.replicas[id]; other.up && other.core.role != RoleLeader {
			w.kill(other)
			w.start(other)
		}
	}
}

func (w *world) alive(r *simReplica) bool {
	return r.up && r.paused <= w.now
}

func (w *world) propose(r *simReplica) {
	for _, id := range w.order {
		if other := w.replicas[id]; w.alive(other) && other.core.role == RoleLeader {
			r = other
		}
	}
	if !w.alive(r) {
		return
	}
	w.command++
	data := []byte(fmt.Sprintf("command-%d", w.command))
	index, _, err := r.core.Propose(data)
	if err != nil {
		return
	}
	w.proposed[index] = data
	r.core.Flush()
}

func (w *world) read(r *simReplica) {
	if !w.alive(r) {
		return
	}
	w.nextRead++
	r.core.now = max(r.core.now, r.clock(w.now))
	if r.core.Read(w.nextRead) == nil {
		w.reads[w.nextRead] = w.lastAcked
	}
}

func (w *world) cutLink(r *simReplica) {
	other := w.order[w.choose.pick(len(w.order))]
	switch w.choose.pick(3) {
	case 0:
		w.cut[[2]ID{r.id, other}] = true
	case 1:
		w.cut[[2]ID{r.id, other}] = true
		w.cut[[2]ID{other, r.id}] = true
	default:
		for _, id := range w.order {
			w.cut[[2]ID{r.id, id}] = true
			w.cut[[2]ID{id, r.id}] = true
		}
	}
}

func (w *world) toggle(r *simReplica) {
	if r.up {
		w.kill(r)
		return
	}
	w.start(r)
}

func (w *world) compact(r *simReplica) {
	if !w.alive(r) {
		return
	}
	meta, ok := r.core.Meta(r.core.applied)
	if !ok {
		return
	}
	r.core.Compact(meta, uint64(w.choose.pick(4)))
	kept, entries := r.core.Retained()
	r.disk.snap = kept
	r.disk.entries = nil
	for _, e := range entries {
		if e.Index <= r.core.stable {
			r.disk.entries = append(r.disk.entries, e)
		}
	}
}

func (w *world) transfer(r *simReplica) {
	if w.alive(r) {
		_ = r.core.Transfer(w.order[w.choose.pick(len(w.order))])
	}
}

// changeMembers adds a learner, promotes one, or removes a member.
func (w *world) changeMembers(r *simReplica) {
	if !w.alive(r) || r.core.role != RoleLeader {
		return
	}
	members := r.core.members
	target := members.Members[w.choose.pick(len(members.Members))]
	switch {
	case !target.Voter:
		target.Voter = true
		_, _, _ = r.core.ProposeMembership(members.With(target))
	case w.lost != 0:
		_, _, _ = r.core.ProposeMembership(members.Without(w.lost))
	case len(w.order) < 9:
		w.nextID++
		w.add(w.nextID, &disk{})
		_, _, _ = r.core.ProposeMembership(members.With(Member{ID: w.nextID}))
	case len(members.Voters()) > 3:
		_, _, _ = r.core.ProposeMembership(members.Without(target.ID))
	}
}

// loseDisk takes the disk of one replica. Until its old self has been taken
// out of the group, no other disk is lost.
func (w *world) loseDisk(r *simReplica) {
	if w.lost != 0 || w.commits == 0 || w.elections == 0 {
		return
	}
	if w.broken == breakOldSelf {
		r.disk = &disk{snap: SnapshotMeta{
			Index:      1,
			Term:       1,
			Membership: r.disk.snap.Membership,
		}, hard: HardState{Term: 1}}
		w.start(r)
		return
	}
	w.lost = r.id
	w.kill(r)
	r.disk = &disk{}
	for i, id := range w.order {
		if id == r.id {
			w.order = append(w.order[:i], w.order[i+1:]...)
			break
		}
	}
	delete(w.replicas, r.id)
	w.nextID++
	w.add(w.nextID, &disk{})
}

// advance lets time pass, delivers what is due, and has each replica do
// what it has to.
func (w *world) advance(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		w.now += time.Millisecond
		w.deliver()
		for _, id := range append([]ID(nil), w.order...) {
			r := w.replicas[id]
			if !w.alive(r) {
				continue
			}
			r.core.Tick(r.clock(w.now))
			if err := w.process(r); err != nil {
				return err
			}
		}
		if err := w.checkLeases(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) deliver() {
	var later []flight
	due := w.net
	w.net = nil
	for _, f := range due {
		r := w.replicas[f.m.To]
		switch {
		case f.at > w.now:
			later = append(later, f)
		case r == nil || !r.up:
		case r.paused > w.now:
			later = append(later, f)
		default:
			r.core.Step(f.m, r.clock(w.now))
		}
	}
	w.net = append(later, w.net...)
}

func (w *world) send(messages []Message) {
	for _, m := range messages {
		if w.cut[[2]ID{m.From, m.To}] || w.choose.pick(100) < w.lossy {
			continue
		}
		copies := 1
		if w.lossy > 0 && w.choose.pick(20) == 0 {
			copies = 2
		}
		for range copies {
			w.net = append(w.net, flight{
				at: w.now + time.Duration(1+w.choose.pick(3+w.lossy))*time.Millisecond,
				m:  m,
			})
		}
	}
}

// process does what a Replica would, and may crash in the middle of it.
func (w *world) process(r *simReplica) error {
	ready := r.core.Ready()
	w.send(ready.Early)
	if w.broken == breakAckFirst {
		w.send(ready.Late)
	}
	crash := w.lossy > 0 && len(ready.Entries) > 0 && w.choose.pick(60) == 0
	if ready.Snapshot != nil {
		r.disk.snap = *ready.Snapshot
		r.disk.entries = nil
	}
	if crash {
		torn := w.choose.pick(len(ready.Entries) + 1)
		if w.broken != breakAckFirst {
			r.disk.persist(ready.Hard, ready.Entries[:torn])
		}
		w.kill(r)
		return nil
	}
	if ready.HardDirty || len(ready.Entries) > 0 {
		r.disk.persist(ready.Hard, ready.Entries)
	}
	r.core.Advance(ready, r.clock(w.now))
	if w.broken != breakAckFirst {
		w.send(ready.Late)
	}
	if err := w.checkVotes(ready.Late); err != nil {
		return err
	}
	if err := w.checkCommitted(r, ready.Committed); err != nil {
		return err
	}
	for _, read := range ready.Reads {
		if asked := w.reads[read.Token]; read.Index < asked {
			return fmt.Errorf("read at %d misses entry %d, acknowledged before it", read.Index, asked)
		}
	}
	return w.checkLeader(r)
}

func (w *world) checkVotes(messages []Message) error {
	for _, m := range messages {
		if m.Kind != MessageVoteReply || m.Reject {
			continue
		}
		key := fmt.Sprintf("%d/%d", m.From, m.Term)
		if other, ok := w.votes[key]; ok && other != m.To {
			return fmt.Errorf("replica %d votes for %d and %d in term %d", m.From, other, m.To, m.Term)
		}
		w.votes[key] = m.To
	}
	return nil
}

func (w *world) checkCommitted(r *simReplica, entries []Entry) error {
	for _, e := range entries {
		known, ok := w.committed[e.Index]
		if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
			return fmt.Errorf("entry %d committed as term %d %q and term %d %q",
				e.Index, known.Term, known.Data, e.Term, e.Data)
		}
		w.committed[e.Index] = e
		w.commits++
		if e.Kind == EntryMembership && w.lost != 0 {
			if _, in := decodeMembership(e.Data).Find(w.lost); !in {
				w.lost = 0
			}
		}
		if r.core.role == RoleLeader && bytes.Equal(w.proposed[e.Index], e.Data) {
			w.acked[e.Index] = e.Data
			w.lastAcked = max(w.lastAcked, e.Index)
		}
	}
	return nil
}

// checkLeader sees that a term has one leader, whose log has everything
// that was committed.
func (w *world) checkLeader(r *simReplica) error {
	if r.core.role != RoleLeader {
		return nil
	}
	known, ok := w.leaders[r.core.term]
	if ok && known != r.id {
		return fmt.Errorf("term %d has leaders %d and %d", r.core.term, known, r.id)
	}
	if ok {
		return nil
	}
	w.leaders[r.core.term] = r.id
	w.elections++
	for index, e := range w.committed {
		if index <= r.core.log.base.Index || e.Term >= r.core.term {
			continue
		}
		if term, found := r.core.log.term(index); !found || term != e.Term {
			return fmt.Errorf("leader %d of term %d lacks committed entry %d", r.id, r.core.term, index)
		}
	}
	return nil
}

// checkLeases sees that while one replica holds a lease, no other leads a
// later term.
func (w *world) checkLeases() error {
	for _, id := range w.order {
		r := w.replicas[id]
		if !r.up || r.core.LeaseUntil() <= r.clock(w.now) {
			continue
		}
		for _, other := range w.order {
			o := w.replicas[other]
			if other != id && o.up && o.core.role == RoleLeader && o.core.term > r.core.term {
				return fmt.Errorf("replica %d holds a lease in term %d while %d leads term %d",
					id, r.core.term, other, o.core.term)
			}
		}
	}
	return nil
}

// settle heals everything, and sees that the group goes on and that what was
// acknowledged has stayed.
func (w *world) settle() error {
	w.cut = map[[2]ID]bool{}
	w.lossy = 0
	for _, id := range w.order {
		r := w.replicas[id]
		r.paused = 0
		if !r.up {
			w.start(r)
		}
	}
	if err := w.advance(3 * time.Second); err != nil {
		return err
	}
	for index, data := range w.acked {
		if e, ok := w.committed[index]; !ok || !bytes.Equal(e.Data, data) {
			return fmt.Errorf("acknowledged entry %d is gone", index)
		}
	}
	before := w.commits
	w.propose(w.replicas[w.order[0]])
	if err := w.advance(time.Second); err != nil {
		return err
	}
	if w.commits == before && w.lost == 0 {
		return fmt.Errorf("healed group commits nothing")
	}
	return nil
}

// runWorld runs one case of the fuzzing.
func runWorld(choose chooser, broken breakKind, steps int) error {
	size := []int{3, 5, 7}[choose.pick(3)]
	w := newWorld(choose, broken, size)
	if err := w.advance(400 * time.Millisecond); err != nil {
		return err
	}
	for range steps {
		if err := w.step(); err != nil {
			return err
		}
	}
	return w.settle()
}
