package peer

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Errors returned by RaftServer.
var (
	ErrWrongCell  = errors.New("message is for another cell")
	ErrChunkOrder = errors.New("snapshot piece is out of order")
	ErrNoReplica  = errors.New("instance keeps no replica of the log")
)

// Receiver processes incoming Raft messages.
type Receiver interface {
	Receive(messages []raft.Message)
}

// RaftServer is the RPC service that receives Raft messages and snapshots.
type RaftServer struct {
	cell func() string

	mu       sync.Mutex
	receiver Receiver
	// partials holds at most one incomplete snapshot per sender.
	partials map[raft.ID]*partialSnapshot
}

// partialSnapshot is a snapshot of which not all chunks have been received.
type partialSnapshot struct {
	index uint64
	data  []byte
}

// NewRaftServer returns a service for the cell whose name the function returns.
func NewRaftServer(cell func() string) *RaftServer {
	return &RaftServer{
		cell:     cell,
		partials: map[raft.ID]*partialSnapshot{},
	}
}

// SetReceiver sets the receiver of the messages. While it is nil, messages are
// rejected with ErrNoReplica.
func (s *RaftServer) SetReceiver(r Receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver = r
}

// receiverFor returns the receiver of messages that are addressed to the cell.
func (s *RaftServer) receiverFor(cell string) (Receiver, error) {
	if cell != s.cell() {
		return nil, ErrWrongCell
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receiver == nil {
		return nil, ErrNoReplica
	}
	return s.receiver, nil
}

// Step receives a batch of Raft messages.
func (s *RaftServer) Step(args *StepArgs, _ *Empty) error {
	receiver, err := s.receiverFor(args.Cell)
	if err != nil {
		return err
	}
	receiver.Receive(args.Messages)
	return nil
}

// Piece receives one chunk of a snapshot. The last chunk passes the complete
// snapshot to the receiver.
func (s *RaftServer) Piece(args *ChunkArgs, _ *Empty) error {
	receiver, err := s.receiverFor(args.Cell)
	if err != nil {
		return err
	}
	state, err := s.appendChunk(args)
	if err != nil || args.Last == nil {
		return err
	}
	m := *args.Last
	m.State = state
	receiver.Receive([]raft.Message{m})
	return nil
}

// appendChunk adds the chunk to the sender's snapshot and returns what has been
// received so far. A chunk at offset 0 starts a new snapshot; a chunk that does
// not follow the previous one discards the snapshot.
func (s *RaftServer) appendChunk(args *ChunkArgs) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partials[args.From]
	if args.Offset == 0 {
		p = &partialSnapshot{index: args.Index}
		s.partials[args.From] = p
	}
	if p == nil || p.index != args.Index || len(p.data) != args.Offset {
		delete(s.partials, args.From)
		return nil, ErrChunkOrder
	}
	p.data = append(p.data, args.Data...)
	if args.Last != nil {
		delete(s.partials, args.From)
	}
	return p.data, nil
}
