package raft

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	tickEvery         = 10 * time.Millisecond
	defaultSnapshot   = 50_000
	defaultTrailing   = 10_000
	maxProposals      = 4096
	inboxCapacity     = 16384
	applyChannelDepth = 1
)

// Errors of a Replica.
var (
	// ErrUncertain is returned when the command may or may not have been
	// committed. The same command, being idempotent, may be sent again.
	ErrUncertain = errors.New("outcome of the command is uncertain")
	// ErrBusy is returned when too many commands are waiting.
	ErrBusy = errors.New("replica is busy")
	// ErrStopped is returned after Stop or a storage failure.
	ErrStopped = errors.New("replica has stopped")
)

// StateMachine is what the log is applied to. All methods are called by one
// goroutine, in the order of the log.
type StateMachine interface {
	// Apply applies a committed command and returns its result.
	Apply(index uint64, command []byte) any
	// Capture returns a function that encodes the state as it is now. That
	// function runs while later commands are applied.
	Capture() func() ([]byte, error)
	// Restore replaces the state.
	Restore(state []byte) error
	// Leading tells that this replica leads the term and that everything
	// committed before it is applied.
	Leading(term uint64)
	// Following tells that this replica does not lead any more.
	Following()
}

// Transport sends messages without waiting. It may lose them.
type Transport interface {
	Send(messages []Message)
	// SendSnapshot delivers a message with its state, and returns once the
	// other side has it.
	SendSnapshot(ctx context.Context, m Message) error
}

// Replica runs one member of a group.
type Replica struct {
	core      *Core
	storage   Storage
	transport Transport
	machine   StateMachine
	now       func() time.Duration
	snapEvery uint64
	trailing  uint64

	mu        sync.Mutex
	inbox     []Message
	proposals []*proposal
	calls     []func()
	wake      chan struct{}
	waiters   map[uint64]*proposal
	reads     map[uint64]chan readResult
	nextRead  uint64
	status    Status
	lease     time.Duration
	applied   uint64
	appliedUp chan struct{}
	failure   error

	applyCh  chan applyItem
	snapping bool
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

type proposal struct {
	data       []byte
	membership *Membership
	term       uint64
	result     chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

type readResult struct {
	index uint64
	err   error
}

type applyItem struct {
	entries   []Entry
	install   *SnapshotMeta
	state     []byte
	following bool
}

// ReplicaOption changes how a replica runs.
type ReplicaOption func(*Replica)

// WithSnapshotEvery sets after how many applied entries a snapshot is taken.
func WithSnapshotEvery(entries uint64) ReplicaOption {
	return func(r *Replica) { r.snapEvery = entries }
}

// WithClock sets the clock that leases and elections run by. It must never
// step back, and must count the time during which the machine is suspended:
// a leader that wakes up must find its lease over.
func WithClock(now func() time.Duration) ReplicaOption {
	return func(r *Replica) { r.now = now }
}

// sinceNow returns a clock that starts at zero.
func sinceNow() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

// WithTrailing sets how many entries stay in memory behind a snapshot.
func WithTrailing(entries uint64) ReplicaOption {
	return func(r *Replica) { r.trailing = entries }
}

// NewReplica loads the storage and starts the replica. It fails when the
// storage or the state in it can't be read.
func NewReplica(
	cfg CoreConfig, storage Storage, transport Transport, machine StateMachine, opts ...ReplicaOption,
) (*Replica, error) {
	restored, state, err := storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load replica")
	}
	if state != nil {
		if err := machine.Restore(state); err != nil {
			return nil, errors.Wrap(err, "restore state")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		core:      NewCore(cfg, restored, 0),
		storage:   storage,
		transport: transport,
		machine:   machine,
		now:       sinceNow(),
		snapEvery: defaultSnapshot,
		trailing:  defaultTrailing,
		wake:      make(chan struct{}, 1),
		waiters:   make(map[uint64]*proposal),
		reads:     make(map[uint64]chan readResult),
		applied:   restored.Snapshot.Index,
		appliedUp: make(chan struct{}),
		applyCh:   make(chan applyItem, applyChannelDepth),
		ctx:       ctx,
		cancel:    cancel,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.status = r.core.Status()
	r.done.Add(2)
	go r.run()
	go r.applyAll(restored.Snapshot.Index)
	return r, nil
}

// Stop ends the replica and waits for its goroutines.
func (r *Replica) Stop() {
	r.fail(ErrStopped)
	r.done.Wait()
}

// Err returns why the replica stopped, or nil while it runs.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

// Done is closed once the replica stops.
func (r *Replica) Done() <-chan struct{} {
	return r.ctx.Done()
}

func (r *Replica) fail(err error) {
	r.mu.Lock()
	if r.failure == nil {
		r.failure = err
	}
	r.mu.Unlock()
	r.cancel()
}

func (r *Replica) clock() time.Duration {
	return r.now()
}

// Receive takes messages from the transport. It never waits; messages above
// the bound are lost.
func (r *Replica) Receive(messages []Message) {
	r.mu.Lock()
	if len(r.inbox)+len(messages) <= inboxCapacity {
		r.inbox = append(r.inbox, messages...)
	}
	r.mu.Unlock()
	r.signal()
}

func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Propose commits a command and returns what the state machine made of it.
// ErrNotLeader, ErrLeaderChanging and ErrBusy mean that it was not taken;
// ErrUncertain that it may have been.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	return r.propose(ctx, &proposal{
		data:   command,
		result: make(chan proposalResult, 1),
	})
}

// ChangeMembership commits a new membership. Besides the errors of Propose
// it returns ErrMembership.
func (r *Replica) ChangeMembership(ctx context.Context, next Membership) error {
	_, err := r.propose(ctx, &proposal{
		membership: &next,
		result:     make(chan proposalResult, 1),
	})
	return err
}

func (r *Replica) propose(ctx context.Context, p *proposal) (any, error) {
	r.mu.Lock()
	if len(r.proposals) >= maxProposals {
		r.mu.Unlock()
		return nil, ErrBusy
	}
	r.proposals = append(r.proposals, p)
	r.mu.Unlock()
	r.signal()
	select {
	case result := <-p.result:
		return result.value, result.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUncertain, "command timed out")
	case <-r.ctx.Done():
		return nil, errors.Wrap(ErrUncertain, "replica stopped")
	}
}

// Read waits until the state machine holds everything committed before the
// call. It fails with ErrNotLeader on a replica that does not lead.
func (r *Replica) Read(ctx context.Context) error {
	if r.LeaseLive() {
		return r.waitApplied(ctx, r.Status().Commit)
	}
	result := make(chan readResult, 1)
	r.mu.Lock()
	r.nextRead++
	token := r.nextRead
	r.reads[token] = result
	r.mu.Unlock()
	r.do(func() {
		if err := r.core.Read(token); err != nil {
			r.answerRead(token, readResult{err: err})
		}
	})
	select {
	case got := <-result:
		if got.err != nil {
			return got.err
		}
		return r.waitApplied(ctx, got.index)
	case <-ctx.Done():
		return errors.Wrap(ErrUncertain, "read timed out")
	case <-r.ctx.Done():
		return ErrStopped
	}
}

func (r *Replica) answerRead(token uint64, result readResult) {
	r.mu.Lock()
	ch := r.reads[token]
	delete(r.reads, token)
	r.mu.Unlock()
	if ch != nil {
		ch <- result
	}
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		r.mu.Lock()
		applied, up := r.applied, r.appliedUp
		r.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-up:
		case <-ctx.Done():
			return errors.Wrap(ErrUncertain, "read timed out")
		case <-r.ctx.Done():
			return ErrStopped
		}
	}
}

// Status returns the replica's last view.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// LeaseLive tells whether this replica is surely the only leader now.
func (r *Replica) LeaseLive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock() < r.lease
}

// Transfer hands the leadership to the voter.
func (r *Replica) Transfer(to ID) {
	r.do(func() { _ = r.core.Transfer(to) })
}

// Silent returns how long each member has not answered, seen by the leader.
func (r *Replica) Silent(ctx context.Context) map[ID]time.Duration {
	return query(ctx, r, func() map[ID]time.Duration { return r.core.Silent() })
}

// CaughtUp tells whether the member has synced everything committed.
func (r *Replica) CaughtUp(ctx context.Context, id ID) bool {
	return query(ctx, r, func() bool { return r.core.CaughtUp(id) })
}

// query runs a question on the core's own goroutine.
func query[T any](ctx context.Context, r *Replica, ask func() T) T {
	answer := make(chan T, 1)
	r.do(func() { answer <- ask() })
	var none T
	select {
	case got := <-answer:
		return got
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return none
}

func (r *Replica) do(call func()) {
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	r.signal()
}
