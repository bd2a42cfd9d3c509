package group

import (
	"cmp"
	"hash/fnv"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/boot"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const (
	logDir = "log"
	// snapshotInterval is the number of log entries between snapshots.
	snapshotInterval = 4000
	// trailingEntries is the number of log entries kept in memory behind a snapshot.
	trailingEntries = 1000
	// maxBatchBytes is the maximum size of the entries in one message. A larger one takes
	// longer on a slow link than an election timeout.
	maxBatchBytes = 64 << 10
)

// openReplica locks the data folder, if there is one, and starts the replica
// stored in it. In an empty folder it starts an initial voter of a new group, if
// the configuration allows it.
func (h *Host) openReplica() error {
	if h.cfg.DataFolder == "" {
		return nil
	}
	lock, err := LockFolder(h.cfg.DataFolder)
	if err != nil {
		return err
	}
	h.lock = lock
	id, err := ReadIdentity(h.cfg.DataFolder)
	if err != nil {
		return err
	}
	if id != nil {
		return h.startReplica(*id, nil)
	}
	if h.cfg.Bootstrap && h.isSeed() {
		return h.formGroup()
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

// formGroup starts an initial voter of a new group. All seeds derive the same
// membership from the same list, so they may start in any order.
func (h *Host) formGroup() error {
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
	return h.startReplica(id, &members)
}

// seedID derives the replica ID of an initial voter from its address.
func seedID(address string) raft.ID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	return raft.ID(hash.Sum64() | 1)
}

// startReplica opens the log and starts the replica. If initial is not nil, it
// first clears the log and bootstraps it with that membership. The identity is
// written after the bootstrap, so that an interrupted bootstrap is started over.
func (h *Host) startReplica(id Identity, initial *raft.Membership) error {
	dir := filepath.Join(h.cfg.DataFolder, logDir)
	if initial != nil {
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "clear log folder")
		}
	}
	storage, err := raft.OpenDisk(dir, h.logOptions...)
	if err != nil {
		return err
	}
	if initial != nil {
		if storage, err = BootstrapStorage(dir, storage, *initial, h.logOptions...); err != nil {
			return err
		}
	}
	if err := WriteIdentity(h.cfg.DataFolder, id); err != nil {
		return err
	}
	// Stop reads these fields under the lock once the context has ended.
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return errors.Wrap(cmp.Or(storage.Close(), h.ctx.Err()), "host is stopping")
	}
	h.identity = id
	h.storage = storage
	h.transport = peer.NewRaftTransport(id.Cell, h.dialer, h.addressOf)
	options := []raft.ReplicaOption{
		raft.WithClock(bootClock()),
		raft.WithLostLeadHandler(h.reportLostLead),
		raft.WithRefusedVoteHandler(h.leaderWatch.recordRefusal),
		raft.WithSnapshotInterval(snapshotInterval),
		raft.WithTrailingEntries(trailingEntries),
	}
	if h.cfg.MaxLogBytes > 0 {
		options = append(options, raft.WithMaxLogBytes(h.cfg.MaxLogBytes))
	}
	replica, err := raft.NewReplica(raft.CoreConfig{
		ID:                id.ID,
		ElectionTimeout:   h.cfg.ElectionTimeout,
		HeartbeatInterval: h.cfg.HeartbeatInterval,
		MaxBatchBytes:     maxBatchBytes,
		Seed:              uint64(id.ID),
	}, h.withSyncTiming(storage), h.transport, h.stateMachine, options...)
	if err != nil {
		return err
	}
	h.replica.Store(replica)
	h.raftServer.SetReceiver(replica)
	h.wg.Go(func() { h.watchReplica(replica) })
	h.log.WithFields(logrus.Fields{
		"id":    id.ID,
		"first": initial != nil,
	}).Info("group: replica started")
	return nil
}

// reportLostLead logs why the leadership ended and passes the reason to
// Config.OnLostLead.
func (h *Host) reportLostLead(lost raft.LostLead) {
	fields := logrus.Fields{
		"term":          lost.Term,
		"reason":        lost.Reason,
		"led":           lost.Led.Milliseconds(),
		"quorum-silent": lost.QuorumSilent.Milliseconds(),
	}
	if lost.From != 0 {
		fields["from"] = cmp.Or(h.addressOf(lost.From), strconv.FormatUint(uint64(lost.From), 10))
		fields["higher-term"] = lost.HigherTerm
	}
	var silent []string
	for _, s := range lost.Silent {
		address := cmp.Or(h.addressOf(s.ID), strconv.FormatUint(uint64(s.ID), 10))
		silent = append(silent, address+" for "+s.For.Round(time.Millisecond).String())
	}
	if len(silent) > 0 {
		fields["silent"] = strings.Join(silent, ", ")
	}
	h.log.WithFields(fields).Warn("group: leadership ended")
	if h.cfg.OnLostLead != nil {
		h.cfg.OnLostLead(lost.Reason)
	}
}

// timedStorage is a storage that reports the duration of each write to the log.
type timedStorage struct {
	raft.Storage

	onSync func(time.Duration)
}

// Persist appends the entries to the log, syncs it and reports the duration.
func (s *timedStorage) Persist(hardState raft.HardState, entries []raft.Entry) error {
	started := time.Now()
	err := s.Storage.Persist(hardState, entries)
	s.onSync(time.Since(started))
	return err
}

// withSyncTiming returns the storage, wrapped to call Config.OnLogSync if that
// is set.
func (h *Host) withSyncTiming(storage raft.Storage) raft.Storage {
	if h.cfg.OnLogSync == nil {
		return storage
	}
	return &timedStorage{
		Storage: storage,
		onSync:  h.cfg.OnLogSync,
	}
}

// BootstrapStorage initializes the storage in the directory for an initial
// replica of a new group with the given members, closes it and returns it
// reopened.
func BootstrapStorage(dir string, storage *raft.DiskStorage, members raft.Membership, opts ...walog.Option) (*raft.DiskStorage, error) {
	initial := raft.BootstrapGroup(members)
	if err := storage.SaveSnapshot(initial.Snapshot, nil); err != nil {
		return nil, err
	}
	if err := storage.ReplaceLog(initial.HardState, nil); err != nil {
		return nil, err
	}
	if err := storage.Close(); err != nil {
		return nil, err
	}
	return raft.OpenDisk(dir, opts...)
}

// bootClock returns a monotonic clock that also advances while the machine is
// suspended.
func bootClock() func() time.Duration {
	started := boot.Now()
	return func() time.Duration { return boot.Now() - started }
}

// watchReplica closes h.failed if the replica stops because of an error, after
// waiting for the disk to accept writes again.
func (h *Host) watchReplica(replica *raft.Replica) {
	select {
	case <-h.ctx.Done():
	case <-replica.Done():
		if !errors.Is(replica.Err(), raft.ErrStopped) {
			h.log.WithError(replica.Err()).Error("group: replica failed")
			probe := func() error { return h.probeDisk(h.cfg.DataFolder) }
			waitForDisk(h.ctx, probe, diskProbeInterval, diskWaitLimit, h.log)
			close(h.failed)
		}
	}
}

// addressOf returns the address of the replica, or "" if it is not known.
func (h *Host) addressOf(id raft.ID) string {
	return h.router.AddressOf(h.replica.Load(), id)
}
