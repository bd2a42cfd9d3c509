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

func (c *counter) Capture() func() ([]byte, error) {
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

func (c *counter) Leading(uint64) {}

func (c *counter) Following() {}

// wires hands messages straight to the other replicas of a test.
type wires struct {
	mu       sync.Mutex
	replicas map[raft.ID]*raft.Replica
}

func (w *wires) Send(messages []raft.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		if r := w.replicas[m.To]; r != nil {
			r.Receive([]raft.Message{m})
		}
	}
}

func (w *wires) SendSnapshot(_ context.Context, m raft.Message) error {
	w.Send([]raft.Message{m})
	return nil
}

func open(t testing.TB, dir string, form bool) *raft.DiskStorage {
	storage, err := raft.OpenDisk(dir)
	qt.Assert(t, err, qt.IsNil)
	if !form {
		return storage
	}
	first := raft.Bootstrap(raft.Member{ID: 1})
	qt.Assert(t, storage.SaveSnapshot(first.Snapshot, nil), qt.IsNil)
	qt.Assert(t, storage.Reset(first.Hard, nil), qt.IsNil)
	qt.Assert(t, storage.Close(), qt.IsNil)
	storage, err = raft.OpenDisk(dir)
	qt.Assert(t, err, qt.IsNil)
	return storage
}

func start(t testing.TB, id raft.ID, storage raft.Storage, w *wires, m *counter) *raft.Replica {
	r, err := raft.NewReplica(raft.CoreConfig{
		ID:       id,
		Election: 100 * time.Millisecond,
	}, storage, w, m, raft.WithSnapshotEvery(50), raft.WithTrailing(5))
	qt.Assert(t, err, qt.IsNil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas[id] = r
	return r
}

func propose(ctx context.Context, t testing.TB, r *raft.Replica) any {
	for {
		value, err := r.Propose(ctx, []byte("x"))
		if err == nil {
			return value
		}
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("%s", err))
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReplicaOnDisk commits, snapshots, restarts, and brings a learner from
// nothing to a vote by a snapshot.
func TestReplicaOnDisk(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	w := &wires{replicas: map[raft.ID]*raft.Replica{}}
	dir := t.TempDir()
	storage := open(t, dir, true)
	first := start(t, 1, storage, w, &counter{})
	for range 200 {
		propose(ctx, t, first)
	}
	first.Stop()
	c.Assert(storage.Close(), qt.IsNil)
	storage = open(t, dir, false)
	first = start(t, 1, storage, w, &counter{})
	defer first.Stop()
	c.Assert(propose(ctx, t, first), qt.Equals, any(201))

	machine := &counter{}
	second := start(t, 2, open(t, t.TempDir(), false), w, machine)
	defer second.Stop()
	membership := first.Status().Membership
	learner := raft.Member{ID: 2}
	c.Assert(first.ChangeMembership(ctx, membership.With(learner)), qt.IsNil)
	learner.Voter = true
	for first.ChangeMembership(ctx, membership.With(learner)) != nil {
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	value := propose(ctx, t, first)
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
	group := raft.Bootstrap(raft.Member{ID: 1})
	_ = storage.SaveSnapshot(group.Snapshot, nil)
	_ = storage.Reset(group.Hard, nil)
	_ = storage.Close()
	storage, err = raft.OpenDisk(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	replica, err := raft.NewReplica(raft.CoreConfig{ID: 1}, storage, &wires{}, &counter{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer replica.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		value, err := replica.Propose(ctx, []byte("count me"))
		if err == nil {
			fmt.Println("applied", value)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	// Output: applied 1
}
