package raft_test

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// fullDisk is the storage of a replica on a disk without room for a snapshot
// while full is set. Records of the log still fit.
type fullDisk struct {
	raft.Storage

	full atomic.Bool
}

func (d *fullDisk) SaveSnapshot(meta raft.SnapshotMeta, state []byte) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.Storage.SaveSnapshot(meta, state)
}

// diskMember is a voter of a diskGroup, which keeps its disk over restarts.
type diskMember struct {
	id      raft.ID
	dir     string
	disk    *fullDisk
	storage *raft.DiskStorage
	replica *raft.Replica
}

// diskGroup is a group of three voters on disks.
type diskGroup struct {
	c         *qt.C
	transport *memoryTransport
	members   []*diskMember
}

func newDiskGroup(t *testing.T) *diskGroup {
	g := &diskGroup{
		c:         qt.New(t),
		transport: &memoryTransport{replicas: map[raft.ID]*raft.Replica{}},
	}
	membership := raft.Membership{}
	for id := raft.ID(1); id <= 3; id++ {
		membership.Members = append(membership.Members, raft.Member{ID: id})
	}
	for _, member := range membership.Members {
		m := &diskMember{
			id:  member.ID,
			dir: t.TempDir(),
		}
		initial := raft.BootstrapGroup(membership)
		storage, err := raft.OpenDisk(m.dir)
		g.c.Assert(err, qt.IsNil)
		g.c.Assert(storage.SaveSnapshot(initial.Snapshot, nil), qt.IsNil)
		g.c.Assert(storage.ReplaceLog(initial.HardState, nil), qt.IsNil)
		g.c.Assert(storage.Close(), qt.IsNil)
		g.members = append(g.members, m)
		g.start(m, false)
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			g.stop(m)
		}
	})
	return g
}

// start starts the member, whose disk has no room for a snapshot if full is set.
func (g *diskGroup) start(m *diskMember, full bool) {
	m.storage = openStorage(g.c, m.dir, false)
	m.disk = &fullDisk{Storage: m.storage}
	m.disk.full.Store(full)
	m.replica = startReplica(g.c, m.id, m.disk, g.transport, &counter{})
}

// stop stops the member, which then receives no messages.
func (g *diskGroup) stop(m *diskMember) {
	if m.replica == nil {
		return
	}
	g.transport.mu.Lock()
	delete(g.transport.replicas, m.id)
	g.transport.mu.Unlock()
	m.replica.Stop()
	m.replica = nil
	g.c.Check(m.storage.Close(), qt.IsNil)
}

// leader waits for a leader that holds its lease.
func (g *diskGroup) leader() *diskMember {
	g.c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, m := range g.members {
			if m.replica != nil && m.replica.HoldsLease() {
				return m
			}
		}
	}
	g.c.Fatal("no leader")
	return nil
}

// followers returns the two members that do not lead.
func (g *diskGroup) followers() (*diskMember, *diskMember) {
	leader := g.leader()
	var others []*diskMember
	for _, m := range g.members {
		if m != leader {
			others = append(others, m)
		}
	}
	return others[0], others[1]
}

// commit commits the given number of commands within the limit.
func (g *diskGroup) commit(count int, limit time.Duration) {
	g.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for range count {
		for {
			_, err := g.leader().replica.Propose(ctx, []byte("x"))
			if err == nil {
				break
			}
			g.c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("%s", err))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// failOnSnapshot makes the member miss more entries than the leader keeps, and starts
// it on a full disk, where it fails on the leader's snapshot.
func (g *diskGroup) failOnSnapshot(m *diskMember) {
	g.c.Helper()
	g.stop(m)
	g.commit(200, 10*time.Second)
	g.start(m, true)
	select {
	case <-m.replica.Done():
	case <-time.After(10 * time.Second):
		g.c.Fatal("the member has not failed")
	}
	g.c.Assert(m.replica.Err(), qt.ErrorMatches, ".*no space left on device.*")
}

// A replica must not acknowledge a snapshot that it could not save: the leader would
// count it as holding the entries and, as acknowledgements do not go back, would
// never send them again. The acknowledgement was sent with the messages that were
// due when the replica failed.
func TestUnsavedSnapshotIsNotAcknowledged(t *testing.T) {
	g := newDiskGroup(t)
	g.commit(1, 10*time.Second)
	slow, _ := g.followers()
	g.transport.recordFrom(slow.id)
	g.failOnSnapshot(slow)
	g.stop(slow)
	for _, m := range g.transport.recorded() {
		acknowledged := m.Kind == raft.MessageAppendReply && !m.Reject && m.Index > 100
		g.c.Assert(acknowledged, qt.IsFalse, qt.Commentf("%+v", m))
	}
}

// A voter that received a snapshot, had no room for it and was started again needs
// the snapshot once more. The leader waited 30 s for the first one, and meanwhile
// sent the voter no entries but heartbeats: with the other follower stopped, the
// leader kept its lease and committed nothing.
func TestUninstalledSnapshotIsSentAgain(t *testing.T) {
	g := newDiskGroup(t)
	g.commit(1, 10*time.Second)
	first, second := g.followers()
	g.failOnSnapshot(first)
	g.stop(first)
	g.start(first, false)
	time.Sleep(500 * time.Millisecond)
	g.stop(second)
	g.commit(1, 5*time.Second)
}

// recorder records the messages that one replica sends.
type recorder struct {
	mu       sync.Mutex
	from     raft.ID
	messages []raft.Message
}

func (r *recorder) recordFrom(id raft.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from = id
}

func (r *recorder) record(m raft.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.From == r.from && r.from != 0 {
		r.messages = append(r.messages, m)
	}
}

func (r *recorder) recorded() []raft.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.messages
}
