package raft

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	tickInterval = 10 * time.Millisecond
	// defaultSnapshotInterval and defaultTrailingEntries are numbers of entries.
	defaultSnapshotInterval = 50_000
	defaultTrailingEntries  = 10_000
	// maxProposals is the maximum number of queued proposals.
	maxProposals = 4096
	// inboxCapacity is the maximum number of queued messages.
	inboxCapacity        = 16384
	applyChannelCapacity = 1
)

// MaxCommandBytes is the maximum size of a command. Commands are sent to other
// replicas in batches, and a batch must fit one message of the transport.
const MaxCommandBytes = 8 << 20

// Errors of a Replica.
var (
	// ErrUncertain is returned if a command may or may not have been
	// committed. An idempotent command can be proposed again. Read returns
	// it on a timeout.
	ErrUncertain = errors.New("outcome of the command is uncertain")
	// ErrBusy is returned if too many proposals are queued.
	ErrBusy = errors.New("replica is busy")
	// ErrTooLarge is returned for a command of more than MaxCommandBytes.
	ErrTooLarge = errors.New("command is too large")
	// ErrStopped is returned after Stop or after the replica has failed.
	ErrStopped = errors.New("replica has stopped")
)

// StateMachine is the state machine to which the log is applied. All methods are
// called by one goroutine, in log order.
type StateMachine interface {
	// Apply applies a committed command and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot returns a function that encodes the current state. The function
	// is called concurrently with Apply and must not see later commands.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state with the content of a snapshot.
	Restore(state []byte) error
	// BecameLeader reports that this replica has become the leader of the term
	// and that all entries committed in earlier terms have been applied.
	BecameLeader(term uint64)
	// LostLeadership reports that this replica is no longer the leader, or that it
	// has stopped while it was.
	LostLeadership()
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends messages without blocking. Messages may be lost.
	Send(messages []Message)
	// SendSnapshot sends a snapshot message including its state. It returns
	// once the receiver has it.
	SendSnapshot(ctx context.Context, m Message) error
}

// Replica runs one member of a group.
type Replica struct {
	core             *Core
	storage          Storage
	transport        Transport
	machine          StateMachine
	now              func() time.Duration
	snapshotInterval uint64
	trailingEntries  uint64
	maxLogBytes      int
	onLostLead       func(LostLead)
	onRefusedVote    func(RefusedVote)

	mu        sync.Mutex
	inbox     []Message
	proposals []*proposal
	calls     []func()
	wake      chan struct{}
	// waiters holds the proposals in the log that have not been applied, by index.
	waiters        map[uint64]*proposal
	reads          map[uint64]chan readResult
	lastReadToken  uint64
	status         Status
	leaseUntil     time.Duration
	applied        uint64
	appliedChanged chan struct{}
	stopErr        error

	applyCh        chan applyItem
	savingSnapshot bool
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
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

// applyItem is a unit of work for the apply loop. Its parts are processed in the
// order snapshot, loss of leadership, entries.
type applyItem struct {
	entries []Entry
	// install and state are the metadata and the content of a snapshot to
	// restore.
	install        *SnapshotMeta
	state          []byte
	lostLeadership bool
}

// ReplicaOption configures a Replica.
type ReplicaOption func(*Replica)

// WithSnapshotInterval sets the number of applied entries between snapshots.
func WithSnapshotInterval(entries uint64) ReplicaOption {
	return func(r *Replica) { r.snapshotInterval = entries }
}

// WithMaxLogBytes sets the size of the entries that may follow a snapshot before the next
// one is saved, whatever their number, and that are kept in memory behind it. The entries
// take that much memory and disk until then. By default only their number counts.
func WithMaxLogBytes(bytes int) ReplicaOption {
	return func(r *Replica) { r.maxLogBytes = bytes }
}

// WithClock sets the clock used for leases and elections. The clock must be
// monotonic and must include the time during which the machine is suspended, so
// that the lease of a leader has expired when its machine resumes.
func WithClock(now func() time.Duration) ReplicaOption {
	return func(r *Replica) { r.now = now }
}

// WithLostLeadHandler sets a function that is called whenever a leadership of the replica
// has ended. It must not block.
func WithLostLeadHandler(handle func(LostLead)) ReplicaOption {
	return func(r *Replica) { r.onLostLead = handle }
}

// WithRefusedVoteHandler sets a function that is called whenever the replica has refused a
// vote. It must not block.
func WithRefusedVoteHandler(handle func(RefusedVote)) ReplicaOption {
	return func(r *Replica) { r.onRefusedVote = handle }
}

// newMonotonicClock returns a monotonic clock that starts at zero.
func newMonotonicClock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

// WithTrailingEntries sets how many of the entries covered by a snapshot are
// kept in memory for replicas that are slightly behind.
func WithTrailingEntries(entries uint64) ReplicaOption {
	return func(r *Replica) { r.trailingEntries = entries }
}

// NewReplica loads the persistent state from the storage, restores the state
// machine from the snapshot, and starts the replica.
func NewReplica(
	cfg CoreConfig, storage Storage, transport Transport, machine StateMachine, opts ...ReplicaOption,
) (*Replica, error) {
	persisted, state, err := storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load storage")
	}
	if state != nil {
		if err := machine.Restore(state); err != nil {
			return nil, errors.Wrap(err, "restore state")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		core:             NewCore(cfg, persisted, 0),
		storage:          storage,
		transport:        transport,
		machine:          machine,
		now:              newMonotonicClock(),
		onLostLead:       func(LostLead) {},
		onRefusedVote:    func(RefusedVote) {},
		snapshotInterval: defaultSnapshotInterval,
		trailingEntries:  defaultTrailingEntries,
		maxLogBytes:      noByteLimit,
		wake:             make(chan struct{}, 1),
		waiters:          make(map[uint64]*proposal),
		reads:            make(map[uint64]chan readResult),
		applied:          persisted.Snapshot.Index,
		appliedChanged:   make(chan struct{}),
		applyCh:          make(chan applyItem, applyChannelCapacity),
		ctx:              ctx,
		cancel:           cancel,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.status = r.core.Status()
	r.wg.Add(2)
	go r.run()
	go r.applyLoop(persisted.Snapshot.Index)
	return r, nil
}

// Stop stops the replica and waits for its goroutines to end.
func (r *Replica) Stop() {
	r.fail(ErrStopped)
	r.wg.Wait()
}

// Err returns the reason why the replica stopped, or nil while it is running.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// Done returns a channel that is closed when the replica stops.
func (r *Replica) Done() <-chan struct{} {
	return r.ctx.Done()
}

// fail stops the replica. It takes part in no election and hears of none from then
// on, so it no longer names a leader.
func (r *Replica) fail(err error) {
	r.mu.Lock()
	if r.stopErr == nil {
		r.stopErr = err
	}
	r.status.Role = RoleFollower
	r.status.Leader = 0
	r.leaseUntil = 0
	r.inbox = nil
	r.mu.Unlock()
	r.cancel()
}

func (r *Replica) clock() time.Duration {
	return r.now()
}

// Receive queues messages from the transport. It never blocks; messages that would
// exceed the capacity of the queue are dropped, and so are all once the replica has
// stopped.
func (r *Replica) Receive(messages []Message) {
	r.mu.Lock()
	if r.stopErr == nil && len(r.inbox)+len(messages) <= inboxCapacity {
		r.inbox = append(r.inbox, messages...)
	}
	r.mu.Unlock()
	r.signal()
}

// signal wakes up the run loop.
func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Propose proposes a command, waits until it is committed and applied, and
// returns the result of the state machine. ErrNotLeader, ErrLeadershipTransfer,
// ErrBusy and ErrTooLarge mean that the command was not accepted; ErrUncertain
// means that it may be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	return r.propose(ctx, &proposal{
		data:   command,
		result: make(chan proposalResult, 1),
	})
}

// ChangeMembership proposes a new membership and waits until it is committed.
// It returns ErrMembershipChange if the change is not allowed, and the errors
// of Propose.
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

// Read waits until the state machine has applied all commands committed before the
// call, so that a read of the state machine is then linearizable. It returns
// ErrNotLeader if the replica is not the leader.
func (r *Replica) Read(ctx context.Context) error {
	if r.HoldsLease() {
		return r.waitApplied(ctx, r.Status().Commit)
	}
	result := make(chan readResult, 1)
	r.mu.Lock()
	r.lastReadToken++
	token := r.lastReadToken
	r.reads[token] = result
	r.mu.Unlock()
	r.runOnLoop(func() {
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

// answerRead passes the result to the call of Read that waits for the token.
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
		applied, changed := r.applied, r.appliedChanged
		r.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ErrUncertain, "read timed out")
		case <-r.ctx.Done():
			return ErrStopped
		}
	}
}

// Status returns the most recently published status. A replica that has stopped is
// a follower without a leader.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// HoldsLease reports whether this replica holds a valid leader lease, so that
// no other replica can be the leader.
func (r *Replica) HoldsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock() < r.leaseUntil
}

// Transfer starts a transfer of the leadership to the given voter. It does not
// wait for the transfer or report errors.
func (r *Replica) Transfer(to ID) {
	r.runOnLoop(func() { _ = r.core.Transfer(to) })
}

// Observe returns what this replica observes of the other members. It is only meaningful
// on the leader.
func (r *Replica) Observe(ctx context.Context) Observation {
	return query(ctx, r, func() Observation { return r.core.Observe() })
}

// CaughtUp reports whether the member keeps up with the log (see Core.CaughtUp). It is
// only meaningful on the leader.
func (r *Replica) CaughtUp(ctx context.Context, id ID) bool {
	return query(ctx, r, func() bool { return r.core.CaughtUp(id) })
}

// query calls fn on the goroutine of the run loop and returns its result. It
// returns the zero value if the context or the replica ends first.
func query[T any](ctx context.Context, r *Replica, fn func() T) T {
	result := make(chan T, 1)
	r.runOnLoop(func() { result <- fn() })
	var zero T
	select {
	case got := <-result:
		return got
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return zero
}

// runOnLoop queues a call to be made on the goroutine of the run loop.
func (r *Replica) runOnLoop(call func()) {
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	r.signal()
}
