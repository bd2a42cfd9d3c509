package peer

import (
	"sync"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Errors of the log's service.
var (
	ErrOtherCell  = errors.New("message is for another cell")
	ErrPieceOrder = errors.New("snapshot piece is out of order")
	ErrNoReplica  = errors.New("instance keeps no replica of the log")
)

// Receiver takes the messages of the log.
type Receiver interface {
	Receive(messages []raft.Message)
}

// LogServer is the service through which messages of the log come in.
type LogServer struct {
	cell func() string

	mu       sync.Mutex
	receiver Receiver
	partial  map[raft.ID]*partial
}

// partial is a snapshot of which not every piece has come.
type partial struct {
	index uint64
	data  []byte
}

// NewLogServer returns a service for the cell whose name the function tells.
func NewLogServer(cell func() string) *LogServer {
	return &LogServer{
		cell:    cell,
		partial: map[raft.ID]*partial{},
	}
}

// SetReceiver sets who takes the messages; nil for nobody.
func (s *LogServer) SetReceiver(r Receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver = r
}

func (s *LogServer) target(cell string) (Receiver, error) {
	if cell != s.cell() {
		return nil, ErrOtherCell
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receiver == nil {
		return nil, ErrNoReplica
	}
	return s.receiver, nil
}

// Step takes messages.
func (s *LogServer) Step(args *StepArgs, _ *Empty) error {
	receiver, err := s.target(args.Cell)
	if err != nil {
		return err
	}
	receiver.Receive(args.Messages)
	return nil
}

// Piece takes a piece of a snapshot; the last one hands the whole over.
func (s *LogServer) Piece(args *PieceArgs, _ *Empty) error {
	receiver, err := s.target(args.Cell)
	if err != nil {
		return err
	}
	data, err := s.collect(args)
	if err != nil || args.Last == nil {
		return err
	}
	m := *args.Last
	m.State = data
	receiver.Receive([]raft.Message{m})
	return nil
}

func (s *LogServer) collect(args *PieceArgs) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partial[args.From]
	if args.Offset == 0 {
		p = &partial{index: args.Index}
		s.partial[args.From] = p
	}
	if p == nil || p.index != args.Index || len(p.data) != args.Offset {
		delete(s.partial, args.From)
		return nil, ErrPieceOrder
	}
	p.data = append(p.data, args.Data...)
	if args.Last != nil {
		delete(s.partial, args.From)
	}
	return p.data, nil
}
