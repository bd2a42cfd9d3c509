// Package node wires one instance: its replica of the log where it has a
// disk, the leader's part while it leads, the way to the leader while it
// does not, and the configuration it follows.
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

// Errors of starting a node.
var (
	ErrFormed   = errors.New("cell is formed already")
	ErrNoFolder = errors.New("instance has no data folder")
)

// Config sets up a node.
type Config struct {
	Name   string
	Domain string
	// Listen is where peers connect; Advertise is what they are told.
	Listen    string
	Advertise string
	// Peers are addresses of other instances.
	Peers []string
	// DataFolder is empty on an instance that keeps no replica.
	DataFolder string
	// FormCell makes this instance the first of a new cell.
	FormCell bool
	Timing   Timing
	Bounds   ledger.Bounds
	// Voters is how many voters the cell wants.
	Voters int
	// TLS configurations; nil means plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Timing holds the times of a node.
type Timing struct {
	Election  time.Duration
	Heartbeat time.Duration
	Lease     lease.Terms
	// Fresh is how old the configuration may be on an instance that admits.
	Fresh time.Duration
	// Replace is how long a voter is silent before a spare takes its place.
	Replace time.Duration
	// DrainAfter is when movable work is stopped on a target that leaves.
	DrainAfter time.Duration
	// HoldGang is how long targets keep room for a gang that is not whole.
	HoldGang time.Duration
	// Grace is how long work that fits nowhere waits for targets.
	Grace time.Duration
}

// DefaultTiming returns the times that a cell starts with.
func DefaultTiming() Timing {
	return Timing{
		Election:  500 * time.Millisecond,
		Heartbeat: 80 * time.Millisecond,
		Lease: lease.Terms{
			TTL:    6 * time.Second,
			Margin: 600 * time.Millisecond,
		},
		Fresh:      2500 * time.Millisecond,
		Replace:    30 * time.Second,
		DrainAfter: 60 * time.Second,
		HoldGang:   10 * time.Second,
		Grace:      10 * time.Second,
	}
}

// Node is one running instance.
type Node struct {
	cfg       Config
	log       *logrus.Logger
	meter     *meter.Meter
	traffic   *peer.Traffic
	dialer    *peer.Dialer
	server    *peer.Server
	logServer *peer.LogServer
	router    *router
	follow    *follower
	wrap      func(address string, conn net.Conn) net.Conn
	engine    []sched.Option

	mu        sync.Mutex
	identity  group.Identity
	storage   *raft.DiskStorage
	transport *peer.LogTransport
	replica   atomic.Pointer[raft.Replica]
	ledger    *ledger.Ledger
	machine   *machine
	lock      *group.FolderLock

	lead     atomic.Pointer[leader]
	failed   chan struct{}
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Option changes how a node runs.
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(log *logrus.Logger) Option {
	return func(n *Node) { n.log = log }
}

// WithWrap sets a function that wraps each connection to a peer.
func WithWrap(wrap func(address string, conn net.Conn) net.Conn) Option {
	return func(n *Node) { n.wrap = wrap }
}

// WithEngine sets options of the scheduling engine.
func WithEngine(opts ...sched.Option) Option {
	return func(n *Node) { n.engine = opts }
}

// Start starts a node. It returns once peers can reach it; it may take
// longer until it knows the leader.
func Start(cfg Config, opts ...Option) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:     cfg,
		log:     logrus.StandardLogger(),
		meter:   meter.New(),
		traffic: &peer.Traffic{},
		failed:  make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.meter.Traffic(&n.traffic.Read, &n.traffic.Written)
	n.dialer = peer.NewDialer(n.traffic, peer.WithTLS(cfg.ClientTLS), peer.WithWrap(n.wrap))
	if err := n.listen(); err != nil {
		cancel()
		return nil, err
	}
	n.router = newRouter(n)
	n.follow = newFollower(n)
	if err := n.openFolder(); err != nil {
		n.server.Close()
		cancel()
		return nil, err
	}
	n.server.Serve()
	n.done.Go(n.router.run)
	n.done.Go(n.follow.run)
	if cfg.DataFolder != "" {
		n.done.Go(n.keepMember)
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
	n.logServer = peer.NewLogServer(n.cellName)
	if err := server.Ordered(peer.LogService, n.logServer); err != nil {
		return err
	}
	return server.Concurrent("Cell", &calls{node: n})
}

// Address returns where peers reach the node.
func (n *Node) Address() string {
	return n.cfg.Advertise
}

// Name returns the instance's name.
func (n *Node) Name() string {
	return n.cfg.Name
}

// Meter returns the node's metrics.
func (n *Node) Meter() *meter.Meter {
	return n.meter
}

// Traffic returns the bytes read from and written to other instances.
func (n *Node) Traffic() (read, written int64) {
	return n.traffic.Read.Load(), n.traffic.Written.Load()
}

// Leading tells whether the node leads now.
func (n *Node) Leading() bool {
	return n.lead.Load() != nil
}

// Failed is closed when the node's replica has stopped by itself.
func (n *Node) Failed() <-chan struct{} {
	return n.failed
}

// watch tells of a replica that stops by itself.
func (n *Node) watch(replica *raft.Replica) {
	select {
	case <-n.ctx.Done():
	case <-replica.Done():
		if !errors.Is(replica.Err(), raft.ErrStopped) {
			n.log.Errorf("node: replica failed: %s", replica.Err())
			close(n.failed)
		}
	}
}

// Err returns why the replica stopped.
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

// Drain makes the node not ready, ends waiting calls early with what is
// known, and hands the leadership over.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	if lead := n.lead.Load(); lead != nil {
		lead.release()
	}
	if replica := n.replica.Load(); replica != nil {
		group.HandOver(ctx, replica, n.cfg.Timing.Heartbeat, n.cfg.Timing.Election, n.log)
	}
}

// Stop stops the node at once, as a crash would but with files closed.
func (n *Node) Stop() {
	n.cancel()
	if lead := n.lead.Load(); lead != nil {
		lead.stop()
	}
	if r := n.replica.Load(); r != nil {
		r.Stop()
	}
	if n.transport != nil {
		n.transport.Close()
	}
	n.server.Close()
	n.router.Close()
	n.done.Wait()
	if n.storage != nil {
		_ = n.storage.Close()
	}
	if n.lock != nil {
		n.lock.Release()
	}
}
