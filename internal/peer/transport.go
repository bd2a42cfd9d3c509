package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Names of the RPC service that carries Raft messages.
const (
	RaftService = "Log"
	methodStep  = RaftService + ".Step"
	methodChunk = RaftService + ".Piece"
)

const (
	chunkBytes = 256 << 10
	// chunkTimeout bounds the call that sends one snapshot chunk.
	chunkTimeout = 5 * time.Second
)

// StepArgs carries a batch of Raft messages.
type StepArgs struct {
	Cell     string         `cbor:"1,keyasint"`
	Messages []raft.Message `cbor:"2,keyasint"`
}

// ChunkArgs carries one chunk of a snapshot. The last chunk also carries the
// snapshot message.
type ChunkArgs struct {
	Cell   string        `cbor:"1,keyasint"`
	From   raft.ID       `cbor:"2,keyasint"`
	Index  uint64        `cbor:"3,keyasint"`
	Offset int           `cbor:"4,keyasint"`
	Data   []byte        `cbor:"5,keyasint"`
	Last   *raft.Message `cbor:"6,keyasint,omitempty"`
}

// Empty is a reply without content.
type Empty struct{}

// RaftTransport sends the Raft messages of one replica. It looks addresses up
// as messages are sent, and keeps a few ordered connections to each replica (see
// link).
type RaftTransport struct {
	cell      string
	dialer    *Dialer
	addressOf func(raft.ID) string

	// resent counts the messages that were sent again.
	resent atomic.Uint64

	mu    sync.Mutex
	links map[raft.ID]*link
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

var _ raft.Transport = (*RaftTransport)(nil)

// NewRaftTransport returns a transport that calls addressOf for the address of a
// replica, which is "" while unknown.
func NewRaftTransport(cell string, dialer *Dialer, addressOf func(raft.ID) string) *RaftTransport {
	ctx, stop := context.WithCancel(context.Background())
	return &RaftTransport{
		cell:      cell,
		dialer:    dialer,
		addressOf: addressOf,
		links:     map[raft.ID]*link{},
		ctx:       ctx,
		stop:      stop,
	}
}

// Send queues the messages. It drops messages whose queue is full and messages
// to replicas without a known address.
func (t *RaftTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		l := t.linkTo(m.To)
		if l == nil {
			continue
		}
		l.enqueue(m)
	}
}

// linkTo returns the link to the replica, which it reopens if the address has
// changed. It returns nil if the address is unknown or the transport is closed.
func (t *RaftTransport) linkTo(to raft.ID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.addressOf(to)
	l := t.links[to]
	if l != nil && l.address == address {
		return l
	}
	if l != nil {
		l.stop()
		delete(t.links, to)
	}
	if address == "" || t.ctx.Err() != nil {
		return nil
	}
	ctx, stop := context.WithCancel(t.ctx)
	l = newLink(t, address, stop)
	t.links[to] = l
	t.wg.Go(func() { l.run(ctx) })
	return l
}

// SendSnapshot sends the snapshot in chunks over a separate connection.
func (t *RaftTransport) SendSnapshot(ctx context.Context, m raft.Message) error {
	t.mu.Lock()
	address := t.addressOf(m.To)
	t.mu.Unlock()
	if address == "" {
		return errors.Wrapf(ErrUnreachable, "replica %d has no known address", m.To)
	}
	client := t.dialer.NewOrderedClient(address)
	defer client.Close()
	state := m.State
	m.State = nil
	for offset := 0; ; offset += chunkBytes {
		end := min(offset+chunkBytes, len(state))
		args := &ChunkArgs{
			Cell:   t.cell,
			From:   m.From,
			Index:  m.Snapshot.Index,
			Offset: offset,
			Data:   state[offset:end],
		}
		if end == len(state) {
			args.Last = &m
		}
		if err := t.sendChunk(ctx, client, args); err != nil {
			return err
		}
		if args.Last != nil {
			return nil
		}
	}
}

func (t *RaftTransport) sendChunk(ctx context.Context, client *Client, args *ChunkArgs) error {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	if err := client.Call(ctx, methodChunk, args, &Empty{}); err != nil {
		return errors.Wrap(err, "send snapshot chunk")
	}
	return nil
}

// Resent returns how many messages were sent again over another connection because
// the first one was overdue.
func (t *RaftTransport) Resent() uint64 {
	return t.resent.Load()
}

// Close closes all connections and waits for their goroutines.
func (t *RaftTransport) Close() {
	t.stop()
	t.wg.Wait()
}
