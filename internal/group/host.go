// Package group runs one instance's part in a replicated group: its replica
// where it has a data folder, the way to the leader for everyone, and the
// upkeep of the membership while it leads. What the log is applied to is the
// caller's.
package group

import (
	"cmp"
	"context"
	"hash/fnv"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const (
	logFolder     = "log"
	snapshotEvery = 4000
	keptEntries   = 1000
)

// Config sets up a host.
type Config struct {
	// Name must not change while the instance lives on.
	Name   string
	Domain string
	// Address is where peers reach the instance.
	Address string
	// Listen is where it listens, if that is another address.
	Listen string
	// Seeds are the addresses of the first voters of a new group, the same
	// for all, and the first places to ask for the leader later.
	Seeds []string
	// DataFolder is empty on an instance that keeps no replica.
	DataFolder string
	// Form allows a seed with an empty folder to start as a first voter.
	Form      bool
	Voters    int
	Election  time.Duration
	Heartbeat time.Duration
	// Replace is how long a voter is silent before a spare takes its place.
	Replace time.Duration
	// Synced is told how long each write to the log took; it may be nil.
	Synced func(time.Duration)
}

// Host is one running instance.
type Host struct {
	cfg     Config
	log     *logrus.Logger
	machine raft.StateMachine
	dialer  *peer.Dialer
	server  *peer.Server
	logs    *peer.LogServer
	router  *router

	mu        sync.Mutex
	identity  Identity
	storage   *raft.DiskStorage
	transport *peer.LogTransport
	lock      *FolderLock
	replica   atomic.Pointer[raft.Replica]
	// nodes are the instances that have said hello lately, by address.
	nodes map[string]time.Time

	failed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewHost opens the instance's address. Services may be registered on Server
// until Run.
func NewHost(cfg Config, machine raft.StateMachine, log *logrus.Logger) (*Host, error) {
	traffic := &peer.Traffic{}
	server, err := peer.Listen(cmp.Or(cfg.Listen, cfg.Address), nil, traffic)
	if err != nil {
		return nil, errors.Wrap(err, "group")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg:     cfg,
		log:     log,
		machine: machine,
		dialer:  peer.NewDialer(traffic),
		server:  server,
		nodes:   map[string]time.Time{},
		failed:  make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	h.logs = peer.NewLogServer(h.cell)
	h.router = newRouter(h)
	if err := server.Ordered(peer.LogService, h.logs); err != nil {
		cancel()
		return nil, err
	}
	if err := server.Concurrent(service, &calls{host: h}); err != nil {
		cancel()
		return nil, err
	}
	return h, nil
}

// Server is where further services are registered.
func (h *Host) Server() *peer.Server {
	return h.server
}

// Run starts the replica and the search for the leader.
func (h *Host) Run() error {
	if err := h.open(); err != nil {
		return err
	}
	h.server.Serve()
	h.done.Go(h.router.run)
	if h.cfg.DataFolder != "" {
		h.done.Go(h.keepMember)
	}
	return nil
}

// Address returns where peers reach the instance.
func (h *Host) Address() string {
	return h.cfg.Address
}

// Replica returns the replica, or nil.
func (h *Host) Replica() *raft.Replica {
	return h.replica.Load()
}

// Failed is closed when the replica has stopped by itself.
func (h *Host) Failed() <-chan struct{} {
	return h.failed
}

func (h *Host) cell() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.identity.Cell
}

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
	replica := h.replica.Load()
	if replica == nil {
		return ""
	}
	member, _ := replica.Status().Membership.Find(id)
	if member.Address == "" {
		member, _ = h.router.Members().Find(id)
	}
	return member.Address
}

// Resign hands the leadership over, if this instance has it.
func (h *Host) Resign(ctx context.Context) {
	if replica := h.replica.Load(); replica != nil {
		HandOver(ctx, replica, h.cfg.Heartbeat, h.cfg.Election, h.log)
	}
}

// HandOver gives the replica's leadership, if it has it, to the voter heard
// from last. It returns when that is done, when there is no other voter, or
// when the context ends.
func HandOver(
	ctx context.Context, replica *raft.Replica, heartbeat, election time.Duration, log *logrus.Logger,
) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	asked := time.Time{}
	for replica.Status().Role == raft.RoleLeader {
		if time.Since(asked) > 2*election {
			asked = time.Now()
			if to := successor(ctx, replica); to != 0 {
				log.Infof("node: handing leadership to %d", to)
				replica.Transfer(to)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(replica.Status().Membership.Voters()) == 1 {
			return
		}
	}
}

// successor returns the other voter that has been heard from last.
func successor(ctx context.Context, replica *raft.Replica) raft.ID {
	silent := replica.Silent(ctx)
	var best raft.ID
	for _, id := range replica.Status().Membership.Voters() {
		quiet, ok := silent[id]
		if !ok {
			continue
		}
		if best == 0 || quiet < silent[best] {
			best = id
		}
	}
	return best
}

// Stop ends everything and waits for it.
func (h *Host) Stop() {
	h.cancel()
	if r := h.replica.Load(); r != nil {
		r.Stop()
	}
	if h.transport != nil {
		h.transport.Close()
	}
	h.server.Close()
	h.router.close()
	h.done.Wait()
	if h.storage != nil {
		if err := h.storage.Close(); err != nil {
			h.log.WithError(err).Warn("group: close storage")
		}
	}
	if h.lock != nil {
		h.lock.Release()
	}
}
