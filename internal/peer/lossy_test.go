package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// packetBytes is the size of the chunks that a lossyProxy loses.
	packetBytes = 1400
	// retransmission is the time until a lost chunk is sent again. It doubles with
	// each further loss up to maxRetransmission.
	retransmission    = 200 * time.Millisecond
	maxRetransmission = time.Second
	// proxyWindow is how many chunks a connection takes while one is held up.
	proxyWindow = 64
)

// lossyProxy forwards connections to a target as a lossy network does: a lost chunk
// holds up everything behind it in its direction of its connection.
type lossyProxy struct {
	listener net.Listener
	target   string
	// loss is the number of chunks lost of 1000.
	loss  atomic.Int64
	seed  uint64
	conns atomic.Uint64
	ctx   context.Context
	wg    sync.WaitGroup
}

func newLossyProxy(t *testing.T, target string, seed uint64) *lossyProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	p := &lossyProxy{
		listener: listener,
		target:   target,
		seed:     seed,
		ctx:      ctx,
	}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		p.wg.Wait()
	})
	return p
}

func (p *lossyProxy) address() string { return p.listener.Addr().String() }

func (p *lossyProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		number := p.conns.Add(1)
		p.wg.Go(func() { p.serve(conn, number) })
	}
}

// serve forwards one connection. The loss of its SYN holds up both directions.
func (p *lossyProxy) serve(conn net.Conn, number uint64) {
	random := rand.New(rand.NewPCG(p.seed, number))
	syn := p.delay(random)
	sleep(p.ctx, syn)
	onward, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		_ = onward.Close()
	})
	defer stop()
	var pumps sync.WaitGroup
	for i, pair := range [][2]net.Conn{{conn, onward}, {onward, conn}} {
		direction := rand.New(rand.NewPCG(p.seed, number<<8+uint64(i)+1))
		pumps.Go(func() {
			defer cancel()
			p.pump(ctx, pair[0], pair[1], direction)
		})
	}
	pumps.Wait()
}

type heldChunk struct {
	data []byte
	at   time.Time
}

func (p *lossyProxy) pump(ctx context.Context, from, to net.Conn, random *rand.Rand) {
	chunks := make(chan heldChunk, proxyWindow)
	var writer sync.WaitGroup
	writer.Go(func() {
		for chunk := range chunks {
			sleep(ctx, time.Until(chunk.at))
			if _, err := to.Write(chunk.data); err != nil {
				_ = from.Close()
			}
		}
	})
	defer writer.Wait()
	defer close(chunks)
	for {
		data := make([]byte, packetBytes)
		n, err := from.Read(data)
		if err != nil {
			return
		}
		chunk := heldChunk{
			data: data[:n],
			at:   time.Now().Add(p.delay(random)),
		}
		select {
		case chunks <- chunk:
		case <-ctx.Done():
			return
		}
	}
}

// delay returns how long a chunk is held up.
func (p *lossyProxy) delay(random *rand.Rand) time.Duration {
	held := time.Millisecond
	for next := retransmission; random.Int64N(1000) < p.loss.Load(); next = min(2*next, maxRetransmission) {
		held += next
	}
	return held
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// stalledMachine is a state machine that records the longest time without a commit.
type stalledMachine struct {
	mu      sync.Mutex
	applied int
	last    time.Time
	longest time.Duration
}

func (m *stalledMachine) Apply(uint64, []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.last.IsZero() {
		m.longest = max(m.longest, now.Sub(m.last))
	}
	m.last = now
	m.applied++
	return nil
}

func (*stalledMachine) Snapshot() func() ([]byte, error) {
	return func() ([]byte, error) { return nil, nil }
}
func (*stalledMachine) Restore([]byte) error { return nil }
func (*stalledMachine) BecameLeader(uint64)  {}
func (*stalledMachine) LostLeadership()      {}

// lossyGroup is a group of five voters of which three run, so that each commit
// needs all of them.
type lossyGroup struct {
	replicas   []*raft.Replica
	machines   []*stalledMachine
	transports []*RaftTransport
	proxies    []*lossyProxy
}

func startLossyGroup(t *testing.T, seed uint64) *lossyGroup {
	g := &lossyGroup{}
	var members raft.Membership
	for id := raft.ID(1); id <= 5; id++ {
		members.Members = append(members.Members, raft.Member{ID: id})
	}
	initial := raft.BootstrapGroup(members)
	services := make([]*RaftServer, 3)
	for i := range services {
		server, err := Listen("127.0.0.1:0", nil, &Traffic{})
		qt.Assert(t, err, qt.IsNil)
		services[i] = NewRaftServer(func() string { return "cell" })
		qt.Assert(t, server.RegisterOrdered(RaftService, services[i]), qt.IsNil)
		server.Serve()
		t.Cleanup(server.Close)
		g.proxies = append(g.proxies, newLossyProxy(t, server.Address(), seed<<4+uint64(i)))
	}
	addressOf := func(id raft.ID) string {
		if id > raft.ID(len(g.proxies)) {
			return ""
		}
		return g.proxies[id-1].address()
	}
	for i := range services {
		transport := NewRaftTransport("cell", NewDialer(&Traffic{}), addressOf)
		machine := &stalledMachine{}
		replica, err := raft.NewReplica(raft.CoreConfig{
			ID:                raft.ID(i + 1),
			ElectionTimeout:   400 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond,
			Seed:              seed,
		}, &memoryStorage{initial: initial}, transport, machine)
		qt.Assert(t, err, qt.IsNil)
		services[i].SetReceiver(replica)
		g.replicas = append(g.replicas, replica)
		g.machines = append(g.machines, machine)
		g.transports = append(g.transports, transport)
		t.Cleanup(func() {
			replica.Stop()
			transport.Close()
		})
	}
	return g
}

// memoryStorage keeps the state of a replica that never restarts. A sync takes as long
// as on a disk that nothing else uses.
type memoryStorage struct {
	initial raft.PersistentState
}

const syncTime = 5 * time.Millisecond

func (s *memoryStorage) Load() (raft.PersistentState, []byte, error) { return s.initial, nil, nil }

func (*memoryStorage) Persist(raft.HardState, []raft.Entry) error {
	time.Sleep(syncTime)
	return nil
}

func (*memoryStorage) SaveSnapshot(raft.SnapshotMeta, []byte) error { return nil }

func (s *memoryStorage) LoadSnapshot() (raft.SnapshotMeta, []byte, error) {
	return s.initial.Snapshot, nil, nil
}

func (*memoryStorage) ReplaceLog(raft.HardState, []raft.Entry) error { return nil }

// waitForLeader returns the position of the leader, once it has committed an entry.
func (g *lossyGroup) waitForLeader(ctx context.Context, t *testing.T) int {
	for ctx.Err() == nil {
		for i, replica := range g.replicas {
			if _, err := replica.Propose(ctx, []byte("first")); err == nil {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return 0
}

// load proposes commands of 700 bytes to whoever leads until the context ends.
func (g *lossyGroup) load(ctx context.Context, proposers int) {
	var wg sync.WaitGroup
	for range proposers {
		wg.Go(func() {
			for ctx.Err() == nil {
				for _, replica := range g.replicas {
					if replica.Status().Role == raft.RoleLeader {
						limited, cancel := context.WithTimeout(ctx, 2*time.Second)
						_, _ = replica.Propose(limited, make([]byte, 700))
						cancel()
					}
				}
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// term returns the highest term of the replicas.
func (g *lossyGroup) term() uint64 {
	var term uint64
	for _, replica := range g.replicas {
		term = max(term, replica.Status().Term)
	}
	return term
}

// lossyRun is what a leader achieves on lossy links within lossyPeriod.
type lossyRun struct {
	leadsLost uint64
	commits   int
	stall     time.Duration
}

const lossyPeriod = 5 * time.Second

// runLossy loads a group whose links lose the number of 1000 packets.
func runLossy(t *testing.T, seed uint64, loss int64) lossyRun {
	g := startLossyGroup(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), 4*lossyPeriod)
	defer cancel()
	leader := g.waitForLeader(ctx, t)
	before := g.term()
	for _, proxy := range g.proxies {
		proxy.loss.Store(loss)
	}
	lossy, stop := context.WithTimeout(ctx, lossyPeriod)
	defer stop()
	g.load(lossy, 30)
	m := g.machines[leader]
	m.mu.Lock()
	defer m.mu.Unlock()
	run := lossyRun{
		leadsLost: g.term() - before,
		commits:   m.applied,
		stall:     max(m.longest, time.Since(m.last)),
	}
	t.Logf("loss %d of 1000, seed %d: %+v", loss, seed, run)
	return run
}

// On links that lose 4 or 5 of 100 packets a leader whose whole majority was connected
// lost its lead two or three times in six seconds, and commits stood still for one to two
// seconds: its heartbeats and their replies waited behind lost packets of the only
// connection to each replica.
func TestLeadIsKeptOverLossyLinks(t *testing.T) {
	for _, loss := range []int64{40, 50} {
		for seed := range uint64(2) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				run := runLossy(t, seed, loss)
				qt.Check(t, run.leadsLost, qt.Equals, uint64(0))
				qt.Check(t, run.stall < time.Second, qt.IsTrue)
			})
		}
	}
}
