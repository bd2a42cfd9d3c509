package raft_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// counter is a state machine that counts the commands applied.
type counter struct {
	mu    sync.Mutex
	count int
}

func (c *counter) Apply(uint64, []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count
}

func (c *counter) Snapshot() func() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.count
	return func() ([]byte, error) { return []byte(fmt.Sprint(count)), nil }
}

func (c *counter) Restore(state []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count = 0
	_, _ = fmt.Sscan(string(state), &c.count)
	return nil
}

func (c *counter) BecameLeader(uint64) {}

func (c *counter) LostLeadership() {}

// memoryTransport delivers messages directly to the other replicas of a test.
type memoryTransport struct {
	recorder

	mu       sync.Mutex
	replicas map[raft.ID]*raft.Replica
}

func (t *memoryTransport) Send(messages []raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		t.record(m)
		if r := t.replicas[m.To]; r != nil {
			r.Receive([]raft.Message{m})
		}
	}
}

func (t *memoryTransport) SendSnapshot(_ context.Context, m raft.Message) error {
	t.Send([]raft.Message{m})
	return nil
}

// openStorage opens the storage in the directory. With bootstrap set, it first
// writes the initial state of a new group.
func openStorage(t testing.TB, dir string, bootstrap bool) *raft.DiskStorage {
	storage, err := raft.OpenDisk(dir)
	qt.Assert(t, err, qt.IsNil)
	if !bootstrap {
		return storage
	}
	initial := raft.Bootstrap(raft.Member{ID: 1})
	qt.Assert(t, storage.SaveSnapshot(initial.Snapshot, nil), qt.IsNil)
	qt.Assert(t, storage.ReplaceLog(initial.HardState, nil), qt.IsNil)
	qt.Assert(t, storage.Close(), qt.IsNil)
	storage, err = raft.OpenDisk(dir)
	qt.Assert(t, err, qt.IsNil)
	return storage
}

func startReplica(t testing.TB, id raft.ID, storage raft.Storage, transport *memoryTransport, m *counter) *raft.Replica {
	r, err := raft.NewReplica(raft.CoreConfig{
		ID:              id,
		ElectionTimeout: 100 * time.Millisecond,
	}, storage, transport, m, raft.WithSnapshotInterval(50), raft.WithTrailingEntries(5))
	qt.Assert(t, err, qt.IsNil)
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.replicas[id] = r
	return r
}

// proposeWithRetry proposes a command until it succeeds.
func proposeWithRetry(ctx context.Context, t testing.TB, r *raft.Replica) any {
	for {
		value, err := r.Propose(ctx, []byte("x"))
		if err == nil {
			return value
		}
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("%s", err))
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReplicaOnDisk commits entries, takes snapshots and restarts a replica. It then
// adds an empty learner, which catches up from a snapshot, promotes it to a voter,
// and transfers the leadership to it.
func TestReplicaOnDisk(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	transport := &memoryTransport{replicas: map[raft.ID]*raft.Replica{}}
	dir := t.TempDir()
	storage := openStorage(t, dir, true)
	first := startReplica(t, 1, storage, transport, &counter{})
	for range 200 {
		proposeWithRetry(ctx, t, first)
	}
	first.Stop()
	c.Assert(storage.Close(), qt.IsNil)
	storage = openStorage(t, dir, false)
	first = startReplica(t, 1, storage, transport, &counter{})
	defer first.Stop()
	c.Assert(proposeWithRetry(ctx, t, first), qt.Equals, any(201))

	machine := &counter{}
	second := startReplica(t, 2, openStorage(t, t.TempDir(), false), transport, machine)
	defer second.Stop()
	membership := first.Status().Membership
	learner := raft.Member{ID: 2}
	c.Assert(first.ChangeMembership(ctx, membership.With(learner)), qt.IsNil)
	learner.Voter = true
	for first.ChangeMembership(ctx, membership.With(learner)) != nil {
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	value := proposeWithRetry(ctx, t, first)
	c.Assert(first.Read(ctx), qt.IsNil)
	for {
		machine.mu.Lock()
		count := machine.count
		machine.mu.Unlock()
		if any(count) == value {
			break
		}
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	first.Transfer(2)
	for second.Status().Role != raft.RoleLeader {
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
}

// Large commands, of which many fit between two snapshots by their number, took more disk
// and memory than a machine has.
func TestLogIsCompactedBySize(t *testing.T) {
	const commandBytes, commands, maxLogBytes = 8 << 10, 300, 128 << 10
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	dir := t.TempDir()
	storage := openStorage(t, dir, true)
	defer func() { _ = storage.Close() }()
	r, err := raft.NewReplica(raft.CoreConfig{
		ID:              1,
		ElectionTimeout: 100 * time.Millisecond,
	}, storage, &memoryTransport{replicas: map[raft.ID]*raft.Replica{}}, &counter{},
		raft.WithSnapshotInterval(1<<20), raft.WithTrailingEntries(1<<20), raft.WithMaxLogBytes(maxLogBytes))
	c.Assert(err, qt.IsNil)
	defer r.Stop()
	proposeWithRetry(ctx, t, r)
	for range commands {
		_, err := r.Propose(ctx, make([]byte, commandBytes))
		c.Assert(err, qt.IsNil)
	}
	for sizeOf(c, dir) > 4*maxLogBytes {
		c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("%d bytes on disk", sizeOf(c, dir)))
		time.Sleep(10 * time.Millisecond)
	}
}

// sizeOf returns the size of the files in the directory.
func sizeOf(c *qt.C, dir string) int64 {
	entries, err := os.ReadDir(dir)
	c.Assert(err, qt.IsNil)
	var size int64
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

func ExampleReplica() {
	dir, err := os.MkdirTemp("", "raft-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	storage, err := raft.OpenDisk(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	initial := raft.Bootstrap(raft.Member{ID: 1})
	_ = storage.SaveSnapshot(initial.Snapshot, nil)
	_ = storage.ReplaceLog(initial.HardState, nil)
	_ = storage.Close()
	storage, err = raft.OpenDisk(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	replica, err := raft.NewReplica(raft.CoreConfig{ID: 1}, storage, &memoryTransport{}, &counter{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer replica.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		value, err := replica.Propose(ctx, []byte("increment"))
		if err == nil {
			fmt.Println("applied", value)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Output: applied 1
}
