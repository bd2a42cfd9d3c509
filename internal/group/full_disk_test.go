package group

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

// testDisk is the disk of a member, which takes no more bytes while full is set.
type testDisk struct {
	full atomic.Bool
}

// Create creates a segment file on the disk.
func (d *testDisk) Create(path string) (walog.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &diskFile{
		File: file,
		disk: d,
	}, nil
}

// Probe fails while the disk is full.
func (d *testDisk) Probe(dir string) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return walog.Probe(dir)
}

// diskFile is a file on a testDisk. A full disk takes half of a write.
type diskFile struct {
	*os.File

	disk *testDisk
}

func (f *diskFile) Write(data []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

const (
	leaderService    = "Leader"
	methodLeaderName = leaderService + ".Name"
)

// leaderRPC is an RPC service that only the leader serves.
type leaderRPC struct {
	host *Host
}

// Name returns the instance's name.
func (s *leaderRPC) Name(_ *wire.HelloArgs, reply *wire.Reply[string]) error {
	if !s.host.isLeader() {
		reply.Fault = wire.NewFault(wire.CodeNotLeader, "")
		return nil
	}
	reply.Value = s.host.cfg.Name
	return nil
}

// nameLeader returns the name of the leader that serves a call made at the member.
func (g *testGroup) nameLeader(m *testMember) string {
	g.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	service := &leaderRPC{host: m.host}
	name, fault := CallLeader(ctx, m.host, methodLeaderName, m.host.router.helloArgs(), service.Name)
	g.c.Assert(fault == nil, qt.IsTrue, qt.Commentf("call at %s: %v", m.cfg.Name, fault))
	return name
}

// waitForFailure waits until the member's process would end because its replica has
// failed.
func (g *testGroup) waitForFailure(m *testMember) {
	g.c.Helper()
	select {
	case <-m.host.Failed():
	case <-time.After(10 * time.Second):
		g.c.Fatal("the replica has not failed")
	}
}

// A leader whose disk is full loses the leadership to another, but its process goes on
// until the disk has room again. It must not take itself for the leader meanwhile: it
// failed all calls that callers made there, and told the other instances to send
// theirs to it.
func TestLeaderWithFullDiskRoutesCallsToNewLeader(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("before")
	full := g.leader()
	full.disk.full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := full.host.Replica().Propose(ctx, []byte("lost"))
	g.c.Assert(err, qt.ErrorIs, raft.ErrUncertain)
	g.eventually("another instance leads", func() bool {
		for _, m := range g.members {
			if m != full && m.host.isLeader() {
				return true
			}
		}
		return false
	})
	for range 5 {
		for _, m := range g.members {
			name := g.nameLeader(m)
			g.c.Assert(name, qt.Not(qt.Equals), full.cfg.Name, qt.Commentf("call at %s", m.cfg.Name))
		}
		time.Sleep(pingInterval / 2)
	}
}

// Disks that are full for some seconds one after another, each longer than a voter may
// be unresponsive, must leave a group that commits changes with any one member
// stopped, and a log on every disk that can be read again.
func TestDisksFullOneAfterAnother(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		m.cfg.Voters = 3
		m.cfg.ReplaceVoterAfter = time.Second
		g.start(m)
	}
	g.propose("first")
	g.eventually("all members have joined", func() bool { return g.joined() == len(g.members) })
	for _, m := range g.members {
		m.disk.full.Store(true)
		g.propose("full " + m.cfg.Name)
		time.Sleep(2 * time.Second)
		m.disk.full.Store(false)
		g.waitForFailure(m)
		m.stop()
		g.start(m)
		g.eventually(m.cfg.Name+" is in the membership", func() bool { return g.joined() == len(g.members) })
		g.eventually(m.cfg.Name+" has caught up", func() bool { return m.words.has("full " + m.cfg.Name) })
	}
	for _, m := range g.members {
		m.stop()
		g.propose("without " + m.cfg.Name)
		g.start(m)
		g.eventually(m.cfg.Name+" has caught up", func() bool { return m.words.has("without " + m.cfg.Name) })
	}
}

// joined counts the members that the leader has in its membership, with their names.
func (g *testGroup) joined() int {
	leader := g.leader()
	if leader == nil {
		return 0
	}
	count := 0
	for _, member := range leader.host.Replica().Status().Membership.Members {
		if member.Name != member.Address {
			count++
		}
	}
	return count
}

// A process that is started again and again while its disk is full must find its log
// intact once there is room: each start may leave an empty segment behind.
func TestStartsOnFullDiskKeepLog(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("before")
	full := g.members[0]
	g.eventually("the member has the entry", func() bool { return full.words.has("before") })
	full.disk.full.Store(true)
	g.propose("meanwhile")
	full.stop()
	for range 5 {
		host, err := NewHost(full.cfg, &wordLog{}, newDiscardLogger())
		g.c.Assert(err, qt.IsNil)
		host.logOptions = []walog.Option{walog.WithCreate(full.disk.Create)}
		g.c.Assert(host.Run(), qt.ErrorMatches, ".*no space left on device.*")
		host.Stop()
	}
	full.disk.full.Store(false)
	g.start(full)
	g.eventually("the member has both entries", func() bool {
		return full.words.has("before") && full.words.has("meanwhile")
	})
}
