package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// modelStep is the granularity of the model's time.
	modelStep     = 2 * time.Millisecond
	modelTick     = 10 * time.Millisecond
	modelElection = 400 * time.Millisecond
	modelBeat     = 100 * time.Millisecond
	modelCatchUp  = 4 * time.Second
	// modelSync is how long a write to a disk takes at most.
	modelSync = 12 * time.Millisecond
	// modelSnapshotEvery and modelTrailing are numbers of entries.
	modelSnapshotEvery = 600
	modelTrailing      = 150
)

// modelDisk is what an instance has synced. An empty one has no identity.
type modelDisk struct {
	id    raft.ID
	state raft.PersistentState
}

// persist stores the hard state and appends the entries.
func (d *modelDisk) persist(ready raft.Ready) {
	if ready.Snapshot != nil {
		d.state.Snapshot = *ready.Snapshot
		d.state.Entries = nil
	}
	d.state.HardState = ready.HardState
	for _, e := range ready.Entries {
		for n := len(d.state.Entries); n > 0 && d.state.Entries[n-1].Index >= e.Index; n-- {
			d.state.Entries = d.state.Entries[:n-1]
		}
		d.state.Entries = append(d.state.Entries, e)
	}
}

// modelInstance is one instance with a disk.
type modelInstance struct {
	name    string
	domain  string
	address string
	disk    *modelDisk
	core    *raft.Core
	seeds   []string
	// known is the membership that the instance was told last.
	known raft.Membership

	// Of an instance that is down, startAt is when it starts. One that is gone never does.
	down, gone bool
	// isSuccessor is set for an instance that takes the place of one that is gone.
	isSuccessor bool
	startAt     time.Duration
	// It is frozen until frozenUntil.
	frozenUntil time.Duration
	// countsAt is from when on it does not count as lost any more.
	countsAt time.Duration
	inbox    []raft.Message
	// A write to the disk is under way until syncedAt.
	syncing  *raft.Ready
	syncedAt time.Duration
	nextTick time.Duration

	nextJoin, nextVoters, nextPing time.Duration
	// changeIndex is the index of the membership change that the instance waits for.
	changeIndex    uint64
	changeDeadline time.Duration
}

// modelCell plays the instances with disks of one cell in virtual time: their replicas,
// how they join and how the leader adjusts the voters.
type modelCell struct {
	rand      *rand.Rand
	now       time.Duration
	instances []*modelInstance
	voters    int
	inFlight  []modelMessage
	// seeds are the seeds in the settings.
	seeds     []string
	addresses int
	// cut holds the addresses of one side of a cut.
	cut map[string]bool
	// cutUntil is when the cut heals.
	cutUntil time.Duration
	// overloaded is set from when more instances were lost than the cell bears until all
	// are back.
	overloaded bool
	// committed is the highest index that a leader has committed.
	committed uint64
	log       func(format string, args ...any)
}

type modelMessage struct {
	at      time.Duration
	from    string
	to      string
	message raft.Message
}

func newModelCell(seed uint64, instances, voters int, log func(string, ...any)) *modelCell {
	m := &modelCell{
		rand:   rand.New(rand.NewPCG(seed, 1)),
		voters: voters,
		cut:    map[string]bool{},
		log:    log,
	}
	for i := range instances {
		inst := m.add(fmt.Sprintf("core-%d-1", i), fmt.Sprintf("domain-%d", i%min(instances, 6)))
		if i < 3 {
			m.seeds = append(m.seeds, inst.address)
		}
	}
	members := raft.Membership{}
	for _, seed := range m.seeds {
		members.Members = append(members.Members, raft.Member{
			ID:      seedID(seed),
			Name:    seed,
			Address: seed,
		})
	}
	for _, inst := range m.instances {
		inst.seeds = m.seeds
		if slices.Contains(m.seeds, inst.address) {
			inst.disk = &modelDisk{
				id:    seedID(inst.address),
				state: raft.BootstrapGroup(members),
			}
		}
		inst.startAt = m.within(300 * time.Millisecond)
		inst.down = true
	}
	return m
}

func (m *modelCell) within(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d) + 1))
}

func (m *modelCell) add(name, domain string) *modelInstance {
	m.addresses++
	inst := &modelInstance{
		name:    name,
		domain:  domain,
		address: fmt.Sprintf("10.0.0.%d:7000", m.addresses),
		disk:    &modelDisk{},
		seeds:   m.seeds,
	}
	m.instances = append(m.instances, inst)
	return inst
}

// at returns the instance that runs at the address, or nil.
func (m *modelCell) at(address string) *modelInstance {
	for _, inst := range m.instances {
		if inst.address == address && !inst.gone {
			return inst
		}
	}
	return nil
}

// connected reports whether two instances reach each other.
func (m *modelCell) connected(a, b string) bool {
	return m.cut[a] == m.cut[b]
}

// reaches returns the instance at the address if it answers the caller, or nil.
func (m *modelCell) reaches(from *modelInstance, address string) *modelInstance {
	to := m.at(address)
	if to == nil || to.down || m.now < to.frozenUntil || !m.connected(from.address, address) {
		return nil
	}
	return to
}

func (m *modelCell) start(inst *modelInstance) {
	inst.down = false
	inst.inbox, inst.syncing, inst.changeIndex = nil, nil, 0
	inst.known = raft.Membership{}
	inst.nextJoin = m.now + joinInterval
	inst.nextVoters = m.now + m.within(votersInterval)
	inst.nextPing = m.now + m.within(pingInterval)
	inst.core = nil
	inst.seeds = m.seeds
	if inst.disk.id != 0 {
		m.startCore(inst)
	}
	m.log("%8s %s started id=%x seeds=%v", m.now, inst.name, inst.disk.id, inst.seeds)
}

func (m *modelCell) startCore(inst *modelInstance) {
	state := inst.disk.state
	state.Entries = slices.Clone(state.Entries)
	inst.core = raft.NewCore(raft.CoreConfig{
		ID:                inst.disk.id,
		ElectionTimeout:   modelElection,
		HeartbeatInterval: modelBeat,
		MaxBatchBytes:     maxBatchBytes,
		Seed:              m.rand.Uint64(),
	}, state, m.now)
}

// stop stops the process, with or without the data that is not synced.
func (m *modelCell) stop(inst *modelInstance, down time.Duration, power bool) {
	if inst.syncing != nil && (!power && m.rand.IntN(2) == 0 || power && m.rand.IntN(4) == 0) {
		inst.disk.persist(*inst.syncing)
	}
	inst.core, inst.syncing, inst.inbox = nil, nil, nil
	inst.down = true
	inst.startAt = m.now + down
}

// run plays until the time.
func (m *modelCell) run(until time.Duration) {
	for m.now < until {
		m.now += modelStep
		if m.now >= m.cutUntil {
			m.cut = map[string]bool{}
		}
		m.watchLosses()
		m.deliver()
		for _, inst := range m.instances {
			m.step(inst)
		}
	}
}

func (m *modelCell) deliver() {
	kept := m.inFlight[:0]
	for _, d := range m.inFlight {
		if d.at > m.now {
			kept = append(kept, d)
			continue
		}
		to := m.at(d.to)
		if to == nil || to.down || to.core == nil || !m.connected(d.from, d.to) {
			if d.message.Kind == raft.MessageSnapshot {
				m.snapshotFailed(d)
			}
			continue
		}
		to.inbox = append(to.inbox, d.message)
		if from := m.at(d.from); d.message.Kind == raft.MessageSnapshot && from != nil && from.core != nil {
			from.core.SnapshotDelivered(d.message)
		}
	}
	m.inFlight = kept
}

func (m *modelCell) snapshotFailed(d modelMessage) {
	if from := m.at(d.from); from != nil && from.core != nil {
		from.core.SnapshotFailed(d.message)
	}
}

func (m *modelCell) step(inst *modelInstance) {
	switch {
	case inst.gone, m.now < inst.frozenUntil:
		return
	case inst.down:
		if m.now >= inst.startAt {
			m.start(inst)
		}
		return
	}
	m.join(inst)
	if inst.core == nil || m.now < inst.syncedAt && inst.syncing != nil {
		return
	}
	if inst.syncing == nil && len(inst.inbox) == 0 && m.now < inst.nextTick {
		return
	}
	inst.nextTick = m.now + modelTick
	if inst.syncing != nil {
		m.finishSync(inst)
	}
	inbox := inst.inbox
	inst.inbox = nil
	for _, message := range inbox {
		inst.core.Step(message, m.now)
	}
	inst.core.Tick(m.now)
	if inst.core.Status().Role == raft.RoleLeader {
		if m.rand.IntN(3) == 0 {
			_, _, _ = inst.core.Propose(make([]byte, 200))
			inst.core.Flush()
		}
		m.adjustVoters(inst)
	}
	m.process(inst)
}

func (m *modelCell) process(inst *modelInstance) {
	ready := inst.core.Ready()
	m.send(inst, ready.MessagesBeforeSync)
	if ready.Snapshot != nil || ready.HardStateChanged || len(ready.Entries) > 0 {
		inst.syncing = &ready
		inst.syncedAt = m.now + modelSync/3 + m.within(modelSync)
		return
	}
	inst.core.Advance(ready, m.now)
	m.send(inst, ready.MessagesAfterSync)
	m.compact(inst)
}

func (m *modelCell) finishSync(inst *modelInstance) {
	ready := *inst.syncing
	inst.syncing = nil
	inst.disk.persist(ready)
	inst.core.Advance(ready, m.now)
	m.send(inst, ready.MessagesAfterSync)
	if status := inst.core.Status(); status.Role == raft.RoleLeader {
		m.committed = max(m.committed, status.Commit)
	}
}

func (m *modelCell) compact(inst *modelInstance) {
	status := inst.core.Status()
	snapshot, _ := inst.core.Retained()
	if status.Applied < snapshot.Index+modelSnapshotEvery {
		return
	}
	meta, ok := inst.core.SnapshotMetaAt(status.Applied)
	if !ok {
		return
	}
	inst.core.Compact(meta, modelTrailing)
	inst.disk.state.Snapshot = meta
	for len(inst.disk.state.Entries) > 0 && inst.disk.state.Entries[0].Index <= meta.Index {
		inst.disk.state.Entries = inst.disk.state.Entries[1:]
	}
	inst.disk.state.HardState.Commit = max(inst.disk.state.HardState.Commit, meta.Index)
}

func (m *modelCell) send(inst *modelInstance, messages []raft.Message) {
	for _, message := range messages {
		member, _ := inst.core.Status().Membership.Find(message.To)
		if member.Address == "" {
			member, _ = inst.known.Find(message.To)
		}
		if member.Address == "" {
			continue
		}
		delay := time.Millisecond + m.within(3*time.Millisecond)
		if message.Kind == raft.MessageSnapshot {
			meta, _ := inst.core.Retained()
			message.Snapshot = &meta
			delay += 50 * time.Millisecond
		}
		m.inFlight = append(m.inFlight, modelMessage{
			at:      m.now + delay,
			from:    inst.address,
			to:      member.Address,
			message: message,
		})
	}
}
