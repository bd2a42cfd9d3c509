package raft

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// idleMachine is a state machine that keeps nothing.
type idleMachine struct{}

func (idleMachine) Apply(uint64, []byte) any { return nil }

func (idleMachine) Snapshot() func() ([]byte, error) {
	return func() ([]byte, error) { return nil, nil }
}

func (idleMachine) Restore([]byte) error { return nil }

func (idleMachine) BecameLeader(uint64) {}

func (idleMachine) LostLeadership() {}

// silentTransport loses all messages.
type silentTransport struct{}

func (silentTransport) Send([]Message) {}

func (silentTransport) SendSnapshot(context.Context, Message) error { return nil }

// A replica that has failed on a full disk is kept by its process until there is room.
// Its peers go on sending to it, and it must not keep the entries and snapshots that it
// can no longer process: up to 16,384 messages were kept.
func TestStoppedReplicaKeepsNoMessages(t *testing.T) {
	c := qt.New(t)
	storage, err := OpenDisk(t.TempDir())
	c.Assert(err, qt.IsNil)
	r, err := NewReplica(CoreConfig{ID: 1}, storage, silentTransport{}, idleMachine{})
	c.Assert(err, qt.IsNil)
	r.fail(ErrStorage)
	r.wg.Wait()
	for range 100 {
		r.Receive([]Message{{
			Kind: MessageSnapshot,
			To:   1,
		}})
	}
	c.Check(r.inbox, qt.HasLen, 0)
	c.Check(storage.Close(), qt.IsNil)
}
