package raft_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// blockingStorage is a storage whose next write can be made to wait.
type blockingStorage struct {
	raft.Storage

	blocked atomic.Bool
	entered chan struct{}
	release chan struct{}
}

func (s *blockingStorage) Persist(hardState raft.HardState, entries []raft.Entry) error {
	if s.blocked.Swap(false) {
		s.entered <- struct{}{}
		<-s.release
	}
	return s.Storage.Persist(hardState, entries)
}

// answeringTransport replies to all messages as the other voters, unless it is muted. It
// keeps the last append.
type answeringTransport struct {
	memoryTransport

	muted atomic.Bool
	mu    sync.Mutex
	last  raft.Message
}

func (t *answeringTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		t.mu.Lock()
		if m.Kind == raft.MessageAppend {
			t.last = m
		}
		t.mu.Unlock()
		if !t.muted.Load() {
			t.memoryTransport.replicas[1].Receive([]raft.Message{replyTo(m)})
		}
	}
}

func replyTo(m raft.Message) raft.Message {
	return raft.Message{
		// The kind of a reply follows that of its request.
		Kind:   m.Kind + 1,
		From:   m.To,
		To:     m.From,
		Term:   m.Term,
		Index:  m.Index + uint64(len(m.Entries)),
		SentAt: m.SentAt,
	}
}

// A leader whose disk was slow for some hundred milliseconds checked for its quorum before
// it took in the replies that had arrived meanwhile, and stepped down.
func TestSlowSyncDoesNotHideReplies(t *testing.T) {
	const electionTimeout = 400 * time.Millisecond
	c := qt.New(t)
	var clock atomic.Int64
	now := func() time.Duration { return time.Duration(clock.Load()) }
	transport := &answeringTransport{memoryTransport: memoryTransport{replicas: map[raft.ID]*raft.Replica{}}}
	var members raft.Membership
	for id := raft.ID(1); id <= 3; id++ {
		members.Members = append(members.Members, raft.Member{ID: id})
	}
	disk := openStorage(t, t.TempDir(), false)
	initial := raft.BootstrapGroup(members)
	c.Assert(disk.SaveSnapshot(initial.Snapshot, nil), qt.IsNil)
	c.Assert(disk.ReplaceLog(initial.HardState, nil), qt.IsNil)
	storage := &blockingStorage{
		Storage: &bootstrapped{
			Storage: disk,
			initial: initial,
		},
		entered: make(chan struct{}),
		release: make(chan struct{}),
	}
	transport.muted.Store(true)
	replica, err := raft.NewReplica(raft.CoreConfig{
		ID:                1,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: electionTimeout / 4,
	}, storage, transport, &counter{}, raft.WithClock(now))
	c.Assert(err, qt.IsNil)
	defer replica.Stop()
	transport.replicas[1] = replica
	transport.muted.Store(false)
	// advance moves the clock on slowly enough for each tick to be seen.
	advance := func(d time.Duration) {
		for range d / (50 * time.Millisecond) {
			clock.Add(int64(50 * time.Millisecond))
			time.Sleep(25 * time.Millisecond)
		}
	}
	for range 100 {
		if replica.Status().Role == raft.RoleLeader {
			break
		}
		advance(50 * time.Millisecond)
	}
	c.Assert(replica.Status().Role, qt.Equals, raft.RoleLeader)
	term := replica.Status().Term
	for range 8 {
		advance(4 * 50 * time.Millisecond)
		transport.muted.Store(true)
		advance(2 * 50 * time.Millisecond)
		storage.blocked.Store(true)
		go func() { _, _ = replica.Propose(t.Context(), []byte("x")) }()
		<-storage.entered
		transport.mu.Lock()
		heartbeat := transport.last
		transport.mu.Unlock()
		clock.Store(int64(heartbeat.SentAt + electionTimeout - 20*time.Millisecond))
		for id := raft.ID(2); id <= 3; id++ {
			heartbeat.To = id
			replica.Receive([]raft.Message{replyTo(heartbeat)})
		}
		time.Sleep(25 * time.Millisecond)
		transport.muted.Store(false)
		storage.release <- struct{}{}
		time.Sleep(25 * time.Millisecond)
		c.Assert(replica.Status().Role, qt.Equals, raft.RoleLeader)
	}
	c.Check(replica.Status().Term, qt.Equals, term)
}

// bootstrapped is a storage that starts with the initial state.
type bootstrapped struct {
	raft.Storage

	initial raft.PersistentState
}

func (s *bootstrapped) Load() (raft.PersistentState, []byte, error) { return s.initial, nil, nil }
