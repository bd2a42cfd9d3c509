package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Method names of the log's service.
const (
	LogService    = "Log"
	methodStep    = LogService + ".Step"
	methodPiece   = LogService + ".Piece"
	pieceBytes    = 256 << 10
	pieceTimeout  = 5 * time.Second
	stepTimeout   = time.Second
	sendCapacity  = 4096
	batchMessages = 512
	batchBytes    = 1 << 20
	inFlight      = 64
)

// StepArgs carries messages of the log.
type StepArgs struct {
	Cell     string         `cbor:"1,keyasint"`
	Messages []raft.Message `cbor:"2,keyasint"`
}

// PieceArgs carries a piece of a snapshot. The last piece has the message.
type PieceArgs struct {
	Cell   string        `cbor:"1,keyasint"`
	From   raft.ID       `cbor:"2,keyasint"`
	Index  uint64        `cbor:"3,keyasint"`
	Offset int           `cbor:"4,keyasint"`
	Data   []byte        `cbor:"5,keyasint"`
	Last   *raft.Message `cbor:"6,keyasint,omitempty"`
}

// Empty is a reply that says nothing.
type Empty struct{}

// LogTransport sends the messages of one replica. It learns addresses as it
// goes, and keeps one ordered connection to each.
type LogTransport struct {
	cell    string
	dialer  *Dialer
	address func(raft.ID) string

	mu    sync.Mutex
	links map[raft.ID]*link
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
}

var _ raft.Transport = (*LogTransport)(nil)

// NewLogTransport returns a transport that asks address where a replica is.
func NewLogTransport(cell string, dialer *Dialer, address func(raft.ID) string) *LogTransport {
	ctx, stop := context.WithCancel(context.Background())
	return &LogTransport{
		cell:    cell,
		dialer:  dialer,
		address: address,
		links:   map[raft.ID]*link{},
		ctx:     ctx,
		stop:    stop,
	}
}

// link is the ordered connection to one replica.
type link struct {
	client  *Client
	address string
	queue   chan raft.Message
	stop    context.CancelFunc
}

// Send queues the messages, or drops those whose queue is full.
func (t *LogTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		l := t.link(m.To)
		if l == nil {
			continue
		}
		select {
		case l.queue <- m:
		default:
		}
	}
}

func (t *LogTransport) link(to raft.ID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.address(to)
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
		client:  t.dialer.NewStream(address),
		address: address,
		queue:   make(chan raft.Message, sendCapacity),
		stop:    stop,
	}
	t.links[to] = l
	t.done.Add(1)
	go t.run(ctx, l)
	return l
}

// run sends what is queued, in batches and without waiting for each answer.
// A connection on which answers are due and none comes is given up.
func (t *LogTransport) run(ctx context.Context, l *link) {
	defer t.done.Done()
	defer l.client.Close()
	answers := make(chan *rpc.Call, inFlight)
	outstanding := 0
	answered := time.Now()
	ticker := time.NewTicker(stepTimeout / 4)
	defer ticker.Stop()
	for {
		queue := l.queue
		if outstanding >= inFlight {
			queue = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if outstanding > 0 && time.Since(answered) > stepTimeout {
				l.client.Reset()
				answered = time.Now()
			}
		case call := <-answers:
			outstanding--
			answered = time.Now()
			if call.Error != nil {
				l.client.Reset()
			}
		case m := <-queue:
			if outstanding == 0 {
				answered = time.Now()
			}
			if t.start(ctx, l, m, answers) {
				outstanding++
			}
		}
	}
}

func (t *LogTransport) start(ctx context.Context, l *link, first raft.Message, answers chan *rpc.Call) bool {
	args := &StepArgs{
		Cell:     t.cell,
		Messages: gather(first, l.queue),
	}
	return l.client.Start(ctx, methodStep, args, &Empty{}, answers) == nil
}

func gather(first raft.Message, queue chan raft.Message) []raft.Message {
	batch := []raft.Message{first}
	bytes := sizeOf(first)
	for len(batch) < batchMessages && bytes < batchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			bytes += sizeOf(m)
		default:
			return batch
		}
	}
	return batch
}

// sizeOf returns how many bytes the message's entries carry.
func sizeOf(m raft.Message) int {
	bytes := 0
	for i := range m.Entries {
		bytes += len(m.Entries[i].Data)
	}
	return bytes
}

// SendSnapshot sends the state in pieces.
func (t *LogTransport) SendSnapshot(ctx context.Context, m raft.Message) error {
	t.mu.Lock()
	address := t.address(m.To)
	t.mu.Unlock()
	if address == "" {
		return errors.Wrapf(ErrUnreachable, "replica %d has no address", m.To)
	}
	client := t.dialer.NewStream(address)
	defer client.Close()
	state := m.State
	m.State = nil
	for offset := 0; ; offset += pieceBytes {
		end := min(offset+pieceBytes, len(state))
		args := &PieceArgs{
			Cell:   t.cell,
			From:   m.From,
			Index:  m.Snapshot.Index,
			Offset: offset,
			Data:   state[offset:end],
		}
		if end == len(state) {
			args.Last = &m
		}
		if err := t.sendPiece(ctx, client, args); err != nil {
			return err
		}
		if args.Last != nil {
			return nil
		}
	}
}

func (t *LogTransport) sendPiece(ctx context.Context, client *Client, args *PieceArgs) error {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	if err := client.Call(ctx, methodPiece, args, &Empty{}); err != nil {
		return errors.Wrap(err, "send snapshot")
	}
	return nil
}

// Close stops the transport.
func (t *LogTransport) Close() {
	t.stop()
	t.done.Wait()
}
