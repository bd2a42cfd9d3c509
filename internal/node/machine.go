package node

import (
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// machine applies the log to the ledger, and tells the leader's part of what
// changes while this instance leads.
type machine struct {
	node *Node
}

var (
	_ raft.StateMachine = (*machine)(nil)
	_ ledger.Observer   = (*machine)(nil)
)

// Apply applies a command. One that can't be decoded changes nothing, on
// every replica alike.
func (m *machine) Apply(_ uint64, data []byte) any {
	command, err := ledger.DecodeCommand(data)
	if err != nil {
		m.node.log.Errorf("node: passed over a command: %s", err)
		return err
	}
	m.node.meter.Applied.Inc()
	return m.node.ledger.Apply(command)
}

// Capture returns a function that encodes the ledger.
func (m *machine) Capture() func() ([]byte, error) {
	return m.node.ledger.Capture()
}

// Restore replaces the ledger's state.
func (m *machine) Restore(state []byte) error {
	return m.node.ledger.Restore(state)
}

// Leading starts the leader's part from the ledger as it is.
func (m *machine) Leading(term uint64) {
	m.node.log.Infof("node: leading in term %d", term)
	m.node.meter.Leading.Set(1)
	lead := newLeader(m.node, term)
	m.node.lead.Store(lead)
	lead.start()
}

// Following stops the leader's part.
func (m *machine) Following() {
	m.node.log.Info("node: no longer leading")
	m.node.meter.Leading.Set(0)
	if lead := m.node.lead.Swap(nil); lead != nil {
		lead.stop()
	}
}

// JobChanged passes the change on.
func (m *machine) JobChanged(before, after *ledger.Job) {
	if lead := m.node.lead.Load(); lead != nil {
		lead.jobChanged(before, after)
	}
}

// TargetChanged passes the change on.
func (m *machine) TargetChanged(before, after *ledger.Target) {
	if lead := m.node.lead.Load(); lead != nil {
		lead.targetChanged(before, after)
	}
}

// ConfigChanged passes the change on.
func (m *machine) ConfigChanged(n note.Note, state *note.State) {
	m.node.log.Infof("note: %d in force", state.Number)
	if lead := m.node.lead.Load(); lead != nil {
		lead.configChanged(n, state)
	}
}
