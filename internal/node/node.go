// Package node runs one instance of a cell: its replica of the log if it has a
// data folder, the scheduler while it leads, the forwarding of calls to the leader
// while it does not, and the configuration received from the leader.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/meter"
	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/lease"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

// Errors returned by Start.
var (
	ErrCellExists   = errors.New("cell already exists")
	ErrNoDataFolder = errors.New("instance has no data folder")
)

// Config configures a node.
type Config struct {
	Name   string
	Domain string
	// Listen is the address to listen on for peers. Advertise is the address
	// given to them; empty means the address listened on.
	Listen    string
	Advertise string
	// Peers lists addresses of other instances.
	Peers []string
	// DataFolder is empty on an instance that keeps no replica.
	DataFolder string
	// FormCell makes this instance the first member of a new cell.
	FormCell bool
	Timing   Timing
	Limits   ledger.Limits
	// Voters is the wanted number of voters in the cell.
	Voters int
	// ServerTLS and ClientTLS secure peer connections; nil means plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Timing holds the timeouts and intervals of a node.
type Timing struct {
	Election  time.Duration
	Heartbeat time.Duration
	Lease     lease.Config
	// MaxConfigAge is the maximum age of the configuration at which an instance
	// admits work.
	MaxConfigAge time.Duration
	// ReplaceVoterAfter is how long a voter may be silent before a learner
	// replaces it.
	ReplaceVoterAfter time.Duration
	// DrainAfter is how long after a target starts to leave its idempotent
	// work is stopped, to run elsewhere.
	DrainAfter time.Duration
	// GangHoldTimeout is how long targets reserve resources for an incomplete
	// gang.
	GangHoldTimeout time.Duration
	// NeverFitsGrace is how long work that fits on no target waits for new
	// targets.
	NeverFitsGrace time.Duration
}

// DefaultTiming returns the default timing.
func DefaultTiming() Timing {
	return Timing{
		Election:  500 * time.Millisecond,
		Heartbeat: 80 * time.Millisecond,
		Lease: lease.Config{
			TTL:    6 * time.Second,
			Margin: 600 * time.Millisecond,
		},
		MaxConfigAge:      2500 * time.Millisecond,
		ReplaceVoterAfter: 30 * time.Second,
		DrainAfter:        60 * time.Second,
		GangHoldTimeout:   10 * time.Second,
		NeverFitsGrace:    10 * time.Second,
	}
}

// Node is one running instance.
type Node struct {
	cfg            Config
	log            *logrus.Logger
	metrics        *meter.Metrics
	traffic        *peer.Traffic
	dialer         *peer.Dialer
	server         *peer.Server
	raftServer     *peer.RaftServer
	router         *router
	configFollower *configFollower
	wrapConn       func(address string, conn net.Conn) net.Conn
	engineOptions  []sched.Option

	mu           sync.Mutex
	identity     group.Identity
	storage      *raft.DiskStorage
	transport    *peer.RaftTransport
	replica      atomic.Pointer[raft.Replica]
	ledger       *ledger.Ledger
	stateMachine *stateMachine
	lock         *group.FolderLock

	leader     atomic.Pointer[leader]
	failed     chan struct{}
	draining   atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Option configures optional behavior of a node.
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(log *logrus.Logger) Option {
	return func(n *Node) { n.log = log }
}

// WithConnWrapper sets a function that wraps every outgoing peer connection.
func WithConnWrapper(wrap func(address string, conn net.Conn) net.Conn) Option {
	return func(n *Node) { n.wrapConn = wrap }
}

// WithEngineOptions adds options for the scheduling engine.
func WithEngineOptions(opts ...sched.Option) Option {
	return func(n *Node) { n.engineOptions = opts }
}

// Start starts a node. It returns once peers can reach the node, which may be
// before the node knows the leader.
func Start(cfg Config, opts ...Option) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:     cfg,
		log:     logrus.StandardLogger(),
		metrics: meter.New(),
		traffic: &peer.Traffic{},
		failed:  make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.metrics.RegisterPeerTraffic(&n.traffic.Read, &n.traffic.Written)
	n.dialer = peer.NewDialer(n.traffic, peer.WithTLS(cfg.ClientTLS), peer.WithConnWrapper(n.wrapConn))
	if err := n.listen(); err != nil {
		cancel()
		return nil, err
	}
	n.router = newRouter(n)
	n.configFollower = newConfigFollower(n)
	if err := n.openDataFolder(); err != nil {
		n.server.Close()
		cancel()
		return nil, err
	}
	n.server.Serve()
	n.goroutines.Go(n.router.run)
	n.goroutines.Go(n.configFollower.run)
	if cfg.DataFolder != "" {
		n.goroutines.Go(n.maintainMembership)
	}
	return n, nil
}

func (n *Node) listen() error {
	server, err := peer.Listen(n.cfg.Listen, n.cfg.ServerTLS, n.traffic)
	if err != nil {
		return err
	}
	n.server = server
	if n.cfg.Advertise == "" {
		n.cfg.Advertise = server.Address()
	}
	n.raftServer = peer.NewRaftServer(n.cellName)
	if err := server.RegisterOrdered(peer.RaftService, n.raftServer); err != nil {
		return err
	}
	return server.RegisterConcurrent("Cell", &rpcService{node: n})
}

// Address returns the address that peers connect to.
func (n *Node) Address() string {
	return n.cfg.Advertise
}

// Name returns the name of the instance.
func (n *Node) Name() string {
	return n.cfg.Name
}

// Metrics returns the node's metrics.
func (n *Node) Metrics() *meter.Metrics {
	return n.metrics
}

// Traffic returns the number of bytes read from and written to other instances.
func (n *Node) Traffic() (read, written int64) {
	return n.traffic.Read.Load(), n.traffic.Written.Load()
}

// IsLeader reports whether the node is the leader.
func (n *Node) IsLeader() bool {
	return n.leader.Load() != nil
}

// Failed returns a channel that is closed when the replica stops because of an
// error.
func (n *Node) Failed() <-chan struct{} {
	return n.failed
}

// watchReplica closes failed when the replica stops for any reason other than a
// call to Stop.
func (n *Node) watchReplica(replica *raft.Replica) {
	select {
	case <-n.ctx.Done():
	case <-replica.Done():
		if !errors.Is(replica.Err(), raft.ErrStopped) {
			n.log.Errorf("node: replica failed: %s", replica.Err())
			close(n.failed)
		}
	}
}

// Err returns the error that stopped the replica, or nil.
func (n *Node) Err() error {
	if r := n.replica.Load(); r != nil {
		return r.Err()
	}
	return nil
}

func (n *Node) cellName() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.identity.Cell
}

// Drain marks the node as not ready, makes blocked calls return their current
// result, and transfers leadership.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	if leader := n.leader.Load(); leader != nil {
		leader.drain()
	}
	if replica := n.replica.Load(); replica != nil {
		group.TransferLeadership(ctx, replica, n.cfg.Timing.Heartbeat, n.cfg.Timing.Election, n.log)
	}
}

// Stop stops the node immediately, without handing over leadership, and closes
// its files.
func (n *Node) Stop() {
	n.cancel()
	if leader := n.leader.Load(); leader != nil {
		leader.stop()
	}
	if r := n.replica.Load(); r != nil {
		r.Stop()
	}
	if n.transport != nil {
		n.transport.Close()
	}
	n.server.Close()
	n.router.Close()
	n.goroutines.Wait()
	if n.storage != nil {
		_ = n.storage.Close()
	}
	if n.lock != nil {
		n.lock.Release()
	}
}
