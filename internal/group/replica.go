package group

import (
	"hash/fnv"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const (
	logFolder = "log"
	// snapshotEvery and keptEntries are counts of log entries.
	snapshotEvery = 4000
	keptEntries   = 1000
)

// open starts the replica of a data folder that has one, or the first replica
// of a new group.
func (h *Host) open() error {
	if h.cfg.DataFolder == "" {
		return nil
	}
	lock, err := LockFolder(h.cfg.DataFolder)
	if err != nil {
		return err
	}
	h.lock = lock
	known, err := ReadIdentity(h.cfg.DataFolder)
	if err != nil {
		return err
	}
	if known != nil {
		return h.start(*known, nil)
	}
	if h.cfg.Form && h.isSeed() {
		return h.form()
	}
	return nil
}

func (h *Host) isSeed() bool {
	for _, seed := range h.cfg.Seeds {
		if seed == h.cfg.Address {
			return true
		}
	}
	return false
}

// form starts one of the first voters. All seeds derive the same membership
// from the same list, so none of them has to be there first.
func (h *Host) form() error {
	seeds := append([]string(nil), h.cfg.Seeds...)
	sort.Strings(seeds)
	id := Identity{
		Cell: strings.Join(seeds, "+"),
		ID:   seedID(h.cfg.Address),
	}
	members := raft.Membership{}
	for _, seed := range seeds {
		members.Members = append(members.Members, raft.Member{
			ID:      seedID(seed),
			Name:    seed,
			Address: seed,
			Domain:  "",
		})
	}
	return h.start(id, &members)
}

func seedID(address string) raft.ID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(address))
	return raft.ID(sum.Sum64() | 1)
}

// start opens the log and starts the replica. The identity is written last,
// so that a replica that was formed by half is formed anew.
func (h *Host) start(id Identity, first *raft.Membership) error {
	dir := filepath.Join(h.cfg.DataFolder, logFolder)
	if first != nil {
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "clear log folder")
		}
	}
	storage, err := raft.OpenDisk(dir)
	if err != nil {
		return err
	}
	if first != nil {
		if storage, err = Bootstrap(dir, storage, *first); err != nil {
			return err
		}
	}
	if err := WriteIdentity(h.cfg.DataFolder, id); err != nil {
		return err
	}
	h.mu.Lock()
	h.identity = id
	h.storage = storage
	h.transport = peer.NewLogTransport(id.Cell, h.dialer, h.addressOf)
	h.mu.Unlock()
	replica, err := raft.NewReplica(raft.CoreConfig{
		ID:        id.ID,
		Election:  h.cfg.Election,
		Heartbeat: h.cfg.Heartbeat,
		Seed:      uint64(id.ID),
	}, h.timed(storage), h.transport, h.machine,
		raft.WithClock(bootClock()),
		raft.WithSnapshotEvery(snapshotEvery),
		raft.WithTrailing(keptEntries))
	if err != nil {
		return err
	}
	h.replica.Store(replica)
	h.logs.SetReceiver(replica)
	h.done.Go(func() { h.watch(replica) })
	h.log.WithFields(logrus.Fields{
		"id":    id.ID,
		"first": first != nil,
	}).Info("group: replica started")
	return nil
}

// timedStorage tells how long writes to the log take.
type timedStorage struct {
	raft.Storage

	synced func(time.Duration)
}

// Persist appends and syncs.
func (s *timedStorage) Persist(hard raft.HardState, entries []raft.Entry) error {
	began := time.Now()
	err := s.Storage.Persist(hard, entries)
	s.synced(time.Since(began))
	return err
}

// timed has the host's configuration told of the storage's writes.
func (h *Host) timed(storage raft.Storage) raft.Storage {
	if h.cfg.Synced == nil {
		return storage
	}
	return &timedStorage{
		Storage: storage,
		synced:  h.cfg.Synced,
	}
}

// Bootstrap makes the storage in the folder that of a first replica of a new
// group with the members, and opens it again.
func Bootstrap(dir string, storage *raft.DiskStorage, members raft.Membership) (*raft.DiskStorage, error) {
	first := raft.BootstrapGroup(members)
	if err := storage.SaveSnapshot(first.Snapshot, nil); err != nil {
		return nil, err
	}
	if err := storage.Reset(first.Hard, nil); err != nil {
		return nil, err
	}
	if err := storage.Close(); err != nil {
		return nil, err
	}
	return raft.OpenDisk(dir)
}

// bootClock returns a clock that counts the time of a suspended machine too.
func bootClock() func() time.Duration {
	started := bootTime()
	return func() time.Duration { return bootTime() - started }
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// watch tells of a replica that stops by itself.
func (h *Host) watch(replica *raft.Replica) {
	select {
	case <-h.ctx.Done():
	case <-replica.Done():
		if !errors.Is(replica.Err(), raft.ErrStopped) {
			h.log.WithError(replica.Err()).Error("group: replica failed")
			probe := func() error { return walog.Probe(h.cfg.DataFolder) }
			awaitDisk(h.ctx, probe, diskRetry, diskPatience, h.log)
			close(h.failed)
		}
	}
}

// addressOf returns where a replica is reached, or "".
func (h *Host) addressOf(id raft.ID) string {
	return h.router.AddressOf(h.replica.Load(), id)
}
