package peer

import (
	"context"
	"net/rpc"
	"sync"
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
	// stepTimeout is how long calls may be in flight without any reply before the
	// connection is reset.
	stepTimeout = time.Second
	// sendQueueSize is the maximum number of messages queued for one replica.
	sendQueueSize    = 4096
	maxBatchMessages = 512
	// maxBatchBytes is the size in bytes of the entry data at which a batch is
	// complete.
	maxBatchBytes = 1 << 20
	// maxInFlight is the maximum number of calls in flight to one replica.
	maxInFlight = 64
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
// as messages are sent, and keeps one ordered connection to each replica.
type RaftTransport struct {
	cell      string
	dialer    *Dialer
	addressOf func(raft.ID) string

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

// link is the ordered connection to one replica, with its send queue.
type link struct {
	client  *Client
	address string
	queue   chan raft.Message
	stop    context.CancelFunc
}

// Send queues the messages. It drops messages whose queue is full and messages
// to replicas without a known address.
func (t *RaftTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		l := t.linkTo(m.To)
		if l == nil {
			continue
		}
		select {
		case l.queue <- m:
		default:
		}
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
	l = &link{
		client:  t.dialer.NewOrderedClient(address),
		address: address,
		queue:   make(chan raft.Message, sendQueueSize),
		stop:    stop,
	}
	t.links[to] = l
	t.wg.Add(1)
	go t.run(ctx, l)
	return l
}

// run sends the queued messages in batches, with up to maxInFlight calls in
// flight. It resets the connection if calls are in flight and no reply arrives
// for stepTimeout.
func (t *RaftTransport) run(ctx context.Context, l *link) {
	defer t.wg.Done()
	defer l.client.Close()
	replies := make(chan *rpc.Call, maxInFlight)
	inFlight := 0
	lastReply := time.Now()
	ticker := time.NewTicker(stepTimeout / 4)
	defer ticker.Stop()
	for {
		queue := l.queue
		if inFlight >= maxInFlight {
			queue = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if inFlight > 0 && time.Since(lastReply) > stepTimeout {
				l.client.Reset()
				lastReply = time.Now()
			}
		case call := <-replies:
			inFlight--
			lastReply = time.Now()
			if call.Error != nil {
				l.client.Reset()
			}
		case m := <-queue:
			if inFlight == 0 {
				lastReply = time.Now()
			}
			if t.startStep(ctx, l, m, replies) {
				inFlight++
			}
		}
	}
}

// startStep starts a call with a batch of queued messages that begins with
// first, and reports whether the call was started.
func (t *RaftTransport) startStep(ctx context.Context, l *link, first raft.Message, replies chan *rpc.Call) bool {
	args := &StepArgs{
		Cell:     t.cell,
		Messages: collectBatch(first, l.queue),
	}
	return l.client.Go(ctx, methodStep, args, &Empty{}, replies) == nil
}

// collectBatch returns first and the queued messages that fit one batch.
func collectBatch(first raft.Message, queue chan raft.Message) []raft.Message {
	batch := []raft.Message{first}
	bytes := entryBytes(first)
	for len(batch) < maxBatchMessages && bytes < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			bytes += entryBytes(m)
		default:
			return batch
		}
	}
	return batch
}

// entryBytes returns the total size of the data in the message's entries.
func entryBytes(m raft.Message) int {
	bytes := 0
	for i := range m.Entries {
		bytes += len(m.Entries[i].Data)
	}
	return bytes
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

// Close closes all connections and waits for their goroutines.
func (t *RaftTransport) Close() {
	t.stop()
	t.wg.Wait()
}
