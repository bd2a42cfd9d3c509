// Package group runs one instance of a group that replicates a log with Raft.
// An instance with a data folder runs a replica and, while it is the leader,
// maintains the membership. Every instance routes calls to the leader. The
// caller supplies the state machine that the log is applied to.
package group

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

// Config configures a Host.
type Config struct {
	// Name identifies the instance and must stay the same across restarts.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Address is the address at which peers reach the instance.
	Address string
	// Listen is the address to listen on, if it differs from Address.
	Listen string
	// Seeds are the addresses of the initial voters of a new group. The list
	// must be the same on all instances. Later they are also asked for the
	// leader.
	Seeds []string
	// DataFolder is empty on an instance without a replica.
	DataFolder string
	// Bootstrap allows a seed with an empty data folder to start as an initial
	// voter of a new group.
	Bootstrap bool
	// Voters is the desired number of voters.
	Voters int
	// ElectionTimeout is the Raft election timeout.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ReplaceVoterAfter is how long a voter may be unresponsive before a
	// learner replaces it.
	ReplaceVoterAfter time.Duration
	// MaxLogBytes bounds the entries of the log between two snapshots; zero means no
	// bound but their number.
	MaxLogBytes int
	// MaxPeerConns bounds the connections that other instances open; zero means no bound.
	MaxPeerConns int
	// OnLogSync is called with the duration of each synced write to the log. It
	// may be nil.
	OnLogSync func(time.Duration)
	// OnLostLead is called with the reason whenever the instance has lost its
	// leadership. It may be nil.
	OnLostLead func(raft.LossReason)
}

// Host is one running instance of a group.
type Host struct {
	cfg          Config
	log          *logrus.Logger
	stateMachine raft.StateMachine
	// logOptions are the options of the log, and probeDisk checks that the folder takes
	// writes. Tests replace them to simulate a full disk.
	logOptions []walog.Option
	probeDisk  func(dir string) error
	dialer     *peer.Dialer
	server     *peer.Server
	raftServer *peer.RaftServer
	router     *router
	members    *MemberWatch
	// leaderWatch tells why the instance has no leader.
	leaderWatch *leaderWatch

	mu        sync.Mutex
	identity  Identity
	storage   *raft.DiskStorage
	transport *peer.RaftTransport
	lock      *FolderLock
	replica   atomic.Pointer[raft.Replica]
	// process identifies this process to its peers.
	process uint64
	// helloAt holds the time of the latest Hello call from each address.
	helloAt map[string]time.Time

	failed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewHost returns a host that listens on its address. Services may be
// registered on Host.Server until Run is called.
func NewHost(cfg Config, machine raft.StateMachine, log *logrus.Logger) (*Host, error) {
	traffic := &peer.Traffic{}
	server, err := peer.Listen(cmp.Or(cfg.Listen, cfg.Address), nil, traffic, peer.WithMaxConns(cfg.MaxPeerConns))
	if err != nil {
		return nil, errors.Wrap(err, "create group host")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg:          cfg,
		log:          log,
		stateMachine: machine,
		probeDisk:    walog.Probe,
		dialer:       peer.NewDialer(traffic),
		server:       server,
		members:      NewMemberWatch(log),
		process:      rand.Uint64() | 1, // Zero is none.
		helloAt:      map[string]time.Time{},
		failed:       make(chan struct{}),
		ctx:          ctx,
		cancel:       cancel,
	}
	h.raftServer = peer.NewRaftServer(h.cellName)
	h.router = newRouter(h)
	h.leaderWatch = newLeaderWatch(h)
	if err := server.RegisterOrdered(peer.RaftService, h.raftServer); err != nil {
		cancel()
		return nil, err
	}
	if err := server.RegisterConcurrent(serviceName, &rpcService{host: h}); err != nil {
		cancel()
		return nil, err
	}
	return h, nil
}

// Server returns the RPC server, on which the caller may register services.
func (h *Host) Server() *peer.Server {
	return h.server
}

// Run starts the replica, if there is one, the server and the background tasks
// that track the leader and the membership.
func (h *Host) Run() error {
	if err := h.openReplica(); err != nil {
		return err
	}
	h.server.Serve()
	h.wg.Go(h.router.run)
	h.wg.Go(h.leaderWatch.run)
	if h.cfg.DataFolder != "" {
		h.wg.Go(h.maintainMembership)
		h.wg.Go(h.maintainVoters)
	}
	return nil
}

// Address returns the address at which peers reach the instance.
func (h *Host) Address() string {
	return h.cfg.Address
}

// Replica returns the replica, or nil if none is running.
func (h *Host) Replica() *raft.Replica {
	return h.replica.Load()
}

// Failed returns a channel that is closed when the replica has stopped because
// of an error.
func (h *Host) Failed() <-chan struct{} {
	return h.failed
}

// ResentMessages returns how many messages of the log were sent again because a
// connection was overdue.
func (h *Host) ResentMessages() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.transport == nil {
		return 0
	}
	return h.transport.Resent()
}

func (h *Host) cellName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.identity.Cell
}

// Stop stops the replica, the server and all background tasks, and waits for
// them.
func (h *Host) Stop() {
	h.cancel()
	// A replica that is being started is complete once the lock is free; none is
	// started after that.
	h.mu.Lock()
	replica, transport, storage := h.replica.Load(), h.transport, h.storage
	h.mu.Unlock()
	if replica != nil {
		replica.Stop()
	}
	if transport != nil {
		transport.Close()
	}
	h.server.Close()
	h.router.close()
	h.wg.Wait()
	if storage != nil {
		if err := storage.Close(); err != nil {
			h.log.WithError(err).Warn("group: closing storage failed")
		}
	}
	if h.lock != nil {
		h.lock.Release()
	}
}
