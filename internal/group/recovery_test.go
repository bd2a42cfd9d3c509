package group

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

var (
	recoverySeeds = flag.Int("recovery-seeds", 10, "number of seeds of TestCellRecovers")
	recoveryFirst = flag.Uint64("recovery-first", 1, "first seed of TestCellRecovers")
	recoveryLog   = flag.Bool("recovery-log", false, "print what happens in TestCellRecovers")
)

const (
	// modelRecovery is the time in which the cell must commit again once all instances are up.
	modelRecovery = 12 * time.Second
	// modelLongestLoss is how long an instance may be down, frozen or cut off.
	modelLongestLoss = 6 * time.Second
)

// errNoRecovery is returned if a cell whose instances are all up commits nothing.
var errNoRecovery = errors.New("nothing was committed")

// live returns the instances that are not gone for good.
func (m *modelCell) live() []*modelInstance {
	var live []*modelInstance
	for _, inst := range m.instances {
		if !inst.gone {
			live = append(live, inst)
		}
	}
	return live
}

// lost reports whether the instance counts as lost: it is down, frozen or cut off, or has
// been back for less than the time to catch up.
func (m *modelCell) lost(inst *modelInstance) bool {
	return inst.down || m.now < inst.countsAt
}

// watchLosses records whether more instances are lost, or have been since all were back,
// than the cell bears.
func (m *modelCell) watchLosses() {
	switch lost := m.lostCount(nil); {
	case lost > m.tolerated():
		m.overloaded = true
	case lost == 0:
		m.overloaded = false
	}
}

// lostCount counts the lost instances, apart from one.
func (m *modelCell) lostCount(except *modelInstance) int {
	count := 0
	for _, inst := range m.live() {
		if inst != except && m.lost(inst) {
			count++
		}
	}
	return count
}

// pick returns any instance that is up, in one of three cases the leader.
func (m *modelCell) pick() *modelInstance {
	live := m.live()
	if leader := m.leader(); leader != nil && m.rand.IntN(3) == 0 {
		return leader
	}
	return live[m.rand.IntN(len(live))]
}

// leader returns the instance that leads, or nil.
func (m *modelCell) leader() *modelInstance {
	for _, inst := range m.live() {
		if inst.core != nil && inst.core.Status().Role == raft.RoleLeader {
			return inst
		}
	}
	return nil
}

// wipe takes the power and the disk of an instance, which starts again soon.
func (m *modelCell) wipe(inst *modelInstance) {
	m.stopFor(inst, 300*time.Millisecond+m.within(5*time.Second), true)
	inst.disk = &modelDisk{}
	m.log("%8s WIPE %s until %s", m.now, inst.name, inst.startAt)
}

// replace takes an instance for good. Its successor has another name and address.
func (m *modelCell) replace(inst *modelInstance) {
	m.stop(inst, 0, true)
	inst.gone = true
	next := m.add(inst.name+"+", inst.domain)
	next.isSuccessor = true
	m.stopFor(next, 300*time.Millisecond+m.within(time.Second), true)
	m.log("%8s REPLACE %s until %s", m.now, inst.name, next.startAt)
	seeds := append([]string(nil), m.seeds...)
	for i, seed := range seeds {
		if seed == inst.address {
			seeds[i] = next.address
		}
	}
	m.seeds = seeds
}

// stopFor stops an instance for the time, after which it has to catch up.
func (m *modelCell) stopFor(inst *modelInstance, down time.Duration, power bool) {
	m.stop(inst, down, power)
	inst.countsAt = m.now + down + modelCatchUp
}

// disturb stops, freezes or cuts off instances, whose disks stay.
func (m *modelCell) disturb() {
	inst := m.pick()
	switch kind := m.rand.IntN(8); kind {
	case 0, 1:
		m.stopFor(inst, m.within(time.Second), false)
		m.log("%8s KILL %s", m.now, inst.name)
	case 2:
		m.stopFor(inst, time.Second+m.within(4*time.Second), true)
		m.log("%8s POWER %s until %s", m.now, inst.name, inst.startAt)
	case 3:
		inst.frozenUntil = m.now + m.within(6*time.Second)
		inst.countsAt = inst.frozenUntil + modelCatchUp
		m.log("%8s FREEZE %s until %s", m.now, inst.name, inst.frozenUntil)
	case 4:
		power := m.rand.IntN(2) == 0
		down := 200*time.Millisecond + m.within(4*time.Second)
		for _, other := range m.live() {
			m.stopFor(other, down+m.within(300*time.Millisecond), power)
		}
		m.log("%8s ALL power=%v for %s", m.now, power, down)
	case 5, 6:
		side := map[string]bool{}
		for _, other := range m.live() {
			if m.rand.IntN(2) == 0 {
				side[other.address] = true
			}
			other.countsAt = m.now + modelCatchUp
		}
		m.cut = side
		m.cutUntil = m.now + m.within(6*time.Second)
		for _, other := range m.live() {
			other.countsAt = m.cutUntil + modelCatchUp
		}
		m.log("%8s CUT %v until %s", m.now, side, m.cutUntil)
	case 7:
		m.wipeIfAllowed()
	}
}

// wipeIfAllowed takes a disk if no more instances are lost then than the cell bears. One
// that counts as lost may be lost again. Where more were lost at once, the disks lost among
// them count until all are back and have caught up.
func (m *modelCell) wipeIfAllowed() {
	inst := m.pick()
	if m.overloaded || m.lostCount(inst) >= m.tolerated() {
		return
	}
	if m.rand.IntN(2) == 0 {
		m.wipe(inst)
		return
	}
	m.replace(inst)
}

// tolerated returns how many instances may be lost at once.
func (m *modelCell) tolerated() int {
	return (m.voters - 1) / 2
}

// recovers reports whether the cell commits again in time. No more losses come, but the
// last ones may still last.
func (m *modelCell) recovers() bool {
	m.run(m.now + modelLongestLoss)
	before := m.committed
	m.run(m.now + modelRecovery)
	return m.committed > before
}

// playRecovery plays losses in series that overlap, and then lets the cell recover.
func playRecovery(seed uint64, log func(string, ...any)) error {
	sizes := [][2]int{{4, 3}, {5, 3}, {6, 5}, {9, 5}, {4, 3}}
	size := sizes[seed%uint64(len(sizes))]
	m := newModelCell(seed, size[0], size[1], log)
	m.run(4 * time.Second)
	for range 6 + m.rand.IntN(8) {
		if m.rand.IntN(2) == 0 {
			m.wipeIfAllowed()
		} else {
			m.disturb()
		}
		m.run(m.now + m.within(4*time.Second))
		if m.rand.IntN(3) == 0 {
			m.run(m.now + modelCatchUp)
		}
	}
	if !m.recovers() {
		return errNoRecovery
	}
	return nil
}

// Losses of disks follow each other while instances are killed, frozen and cut off. None of
// that may leave a state from which the cell does not return by itself: an oracle of safety
// alone does not see a group that stands still for good.
func TestCellRecovers(t *testing.T) {
	c := qt.New(t)
	for i := range uint64(*recoverySeeds) {
		seed := *recoveryFirst + i
		log := func(string, ...any) {}
		if *recoveryLog {
			log = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
		}
		err := playRecovery(seed, log)
		if err != nil {
			t.Logf("seed %d: %s", seed, err)
		}
		c.Check(err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// While a lost voter is being replaced, its successor counts as lost still, and its disk may
// be lost as well. If it is a voter by then beside the lost one, two of four voters are left,
// which are no quorum, and nothing brings the group back.
func TestSuccessorIsLostWhileItReplacesVoter(t *testing.T) {
	for _, size := range [][2]int{{4, 3}, {6, 5}, {9, 5}} {
		t.Run(fmt.Sprintf("%d of %d instances are voters", size[1], size[0]), func(t *testing.T) {
			c := qt.New(t)
			m := newModelCell(1, size[0], size[1], t.Logf)
			m.run(4 * time.Second)
			for range m.tolerated() {
				m.replace(m.voterBesideLeader())
			}
			wiped := map[*modelInstance]bool{}
			for end := m.now + modelCatchUp; m.now < end; {
				m.run(m.now + modelStep)
				m.wipeNewVoters(wiped)
			}
			c.Check(wiped, qt.Not(qt.HasLen), 0)
			c.Check(m.recovers(), qt.IsTrue)
		})
	}
}

// voterBesideLeader returns a voter that is there and does not lead.
func (m *modelCell) voterBesideLeader() *modelInstance {
	leader := m.leader()
	for _, member := range leader.core.Status().Membership.Members {
		if inst := m.at(member.Address); member.Voter && inst != nil && inst != leader {
			return inst
		}
	}
	return nil
}

// wipeNewVoters takes the disk of each successor, once, when the leader has made it a voter.
func (m *modelCell) wipeNewVoters(wiped map[*modelInstance]bool) {
	leader := m.leader()
	if leader == nil {
		return
	}
	for _, member := range leader.core.Status().Membership.Members {
		inst := m.at(member.Address)
		if member.Voter && inst != nil && inst.isSuccessor && !wiped[inst] {
			wiped[inst] = true
			m.wipe(inst)
		}
	}
}
