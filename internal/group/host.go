// Package group runs one instance's part in a replicated group: its replica
// where it has a data folder, the way to the leader for everyone, and the
// upkeep of the membership while it leads. What the log is applied to is the
// caller's.
package group

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
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
