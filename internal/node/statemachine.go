package node

import (
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// stateMachine applies the replicated log to the ledger. While this instance
// leads, it passes the resulting changes to the leader state.
type stateMachine struct {
	node *Node
}

var (
	_ raft.StateMachine = (*stateMachine)(nil)
	_ ledger.Observer   = (*stateMachine)(nil)
)

// Apply applies a command to the ledger. A command that cannot be decoded is
// skipped, in the same way on every replica.
func (s *stateMachine) Apply(_ uint64, data []byte) any {
	command, err := ledger.DecodeCommand(data)
	if err != nil {
		s.node.log.Errorf("node: skipped a command that cannot be decoded: %s", err)
		return err
	}
	s.node.metrics.CommandsApplied.Inc()
	return s.node.ledger.Apply(command)
}

// Snapshot returns a function that encodes a snapshot of the ledger.
func (s *stateMachine) Snapshot() func() ([]byte, error) {
	return s.node.ledger.Snapshot()
}

// Restore replaces the ledger's state.
func (s *stateMachine) Restore(state []byte) error {
	return s.node.ledger.Restore(state)
}

// BecameLeader builds the leader state from the ledger and starts it.
func (s *stateMachine) BecameLeader(term uint64) {
	s.node.log.Infof("node: leading in term %d", term)
	s.node.metrics.Leading.Set(1)
	leader := newLeader(s.node, term)
	s.node.leader.Store(leader)
	leader.start()
}

// LostLeadership stops and discards the leader state.
func (s *stateMachine) LostLeadership() {
	s.node.log.Info("node: no longer leading")
	s.node.metrics.Leading.Set(0)
	if leader := s.node.leader.Swap(nil); leader != nil {
		leader.stop()
	}
}

// JobChanged implements ledger.Observer.
func (s *stateMachine) JobChanged(before, after *ledger.Job) {
	if leader := s.node.leader.Load(); leader != nil {
		leader.jobChanged(before, after)
	}
}

// TargetChanged implements ledger.Observer.
func (s *stateMachine) TargetChanged(before, after *ledger.Target) {
	if leader := s.node.leader.Load(); leader != nil {
		leader.targetChanged(before, after)
	}
}

// ConfigChanged implements ledger.Observer.
func (s *stateMachine) ConfigChanged(n note.Note, state *note.State) {
	s.node.log.Infof("note: in force number=%d", state.Number)
	if leader := s.node.leader.Load(); leader != nil {
		leader.configChanged(n, state)
	}
}
