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
