package raft

import (
	"time"

	"github.com/go-faster/errors"
)

// run is the only goroutine that touches the core.
func (r *Replica) run() {
	defer r.done.Done()
	defer close(r.applyCh)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.core.Tick(r.clock())
		case <-r.wake:
		}
		r.takeInput()
		if err := r.process(); err != nil {
			r.fail(err)
			return
		}
	}
}

func (r *Replica) takeInput() {
	r.mu.Lock()
	inbox, proposals, calls := r.inbox, r.proposals, r.calls
	r.inbox, r.proposals, r.calls = nil, nil, nil
	r.mu.Unlock()
	now := r.clock()
	for _, m := range inbox {
		r.step(m, now)
	}
	for _, call := range calls {
		call()
	}
	for _, p := range proposals {
		r.admit(p)
	}
	if len(proposals) > 0 {
		r.core.Flush()
	}
}

func (r *Replica) step(m Message, now time.Duration) {
	r.core.Step(m, now)
	if r.core.installed == nil || m.Kind != MessageSnapshot {
		return
	}
	if err := r.install(m.State); err != nil {
		r.fail(err)
	}
}

// install persists a snapshot that the core has just taken over.
func (r *Replica) install(state []byte) error {
	meta := *r.core.installed
	if err := r.storage.SaveSnapshot(meta, state); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	hard := HardState{
		Term:   r.core.term,
		Vote:   r.core.vote,
		Commit: meta.Index,
	}
	if err := r.storage.Reset(hard, nil); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	r.core.installed = nil
	r.toApply(applyItem{
		install: &meta,
		state:   state,
	})
	return nil
}

func (r *Replica) admit(p *proposal) {
	var index, term uint64
	var err error
	if p.membership != nil {
		index, term, err = r.core.ProposeMembership(*p.membership)
	} else {
		index, term, err = r.core.Propose(p.data)
	}
	if err != nil {
		p.result <- proposalResult{err: err}
		return
	}
	p.term = term
	r.mu.Lock()
	older := r.waiters[index]
	r.waiters[index] = p
	r.mu.Unlock()
	if older != nil {
		older.result <- proposalResult{err: ErrUncertain}
	}
}

func (r *Replica) process() error {
	for {
		wasLeader := r.Status().Role == RoleLeader
		ready := r.core.Ready()
		r.send(ready.Early)
		if ready.HardDirty || len(ready.Entries) > 0 {
			if err := r.storage.Persist(ready.Hard, ready.Entries); err != nil {
				return errors.Wrap(err, "persist")
			}
		}
		r.core.Advance(ready, r.clock())
		r.send(ready.Late)
		r.publish()
		if wasLeader && r.core.role != RoleLeader {
			r.toApply(applyItem{following: true})
		}
		if len(ready.Committed) > 0 {
			r.toApply(applyItem{entries: ready.Committed})
		}
		r.answerReads(ready)
		if r.core.commit == r.core.applied {
			return nil
		}
	}
}

func (r *Replica) answerReads(ready Ready) {
	for _, read := range ready.Reads {
		r.answerRead(read.Token, readResult{index: read.Index})
	}
	for _, token := range ready.FailedReads {
		r.answerRead(token, readResult{err: ErrNotLeader})
	}
}

func (r *Replica) publish() {
	status := r.core.Status()
	lease := r.core.LeaseUntil()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	r.lease = lease
}

func (r *Replica) send(messages []Message) {
	if len(messages) == 0 {
		return
	}
	plain := messages[:0]
	for _, m := range messages {
		if m.Kind == MessageSnapshot {
			r.done.Add(1)
			go r.sendSnapshot(m)
			continue
		}
		plain = append(plain, m)
	}
	r.transport.Send(plain)
}

func (r *Replica) sendSnapshot(m Message) {
	defer r.done.Done()
	meta, state, err := r.storage.LoadSnapshot()
	if err == nil {
		m.Snapshot = &meta
		m.State = state
		err = r.transport.SendSnapshot(r.ctx, m)
	}
	if err != nil {
		r.do(func() { r.core.SnapshotFailed(m.To) })
	}
}

func (r *Replica) toApply(item applyItem) {
	select {
	case r.applyCh <- item:
	case <-r.ctx.Done():
	}
}

// applyAll feeds the state machine.
func (r *Replica) applyAll(snapped uint64) {
	defer r.done.Done()
	leading := false
	for item := range r.applyCh {
		if item.install != nil {
			if err := r.machine.Restore(item.state); err != nil {
				r.fail(errors.Wrap(err, "restore state"))
				return
			}
			snapped = item.install.Index
			r.setApplied(snapped)
		}
		if item.following && leading {
			leading = false
			r.machine.Following()
		}
		for _, e := range item.entries {
			if r.applyEntry(e) && !leading {
				leading = true
				r.machine.Leading(e.Term)
			}
		}
		if n := len(item.entries); n > 0 {
			last := item.entries[n-1].Index
			r.setApplied(last)
			if last-snapped >= r.snapEvery && r.startSnapshot(last) {
				snapped = last
			}
		}
	}
}

// applyEntry applies one entry and tells whether it opens this replica's own
// leadership.
func (r *Replica) applyEntry(e Entry) bool {
	var value any
	if e.Kind == EntryCommand {
		value = r.machine.Apply(e.Index, e.Data)
	}
	r.mu.Lock()
	waiter := r.waiters[e.Index]
	delete(r.waiters, e.Index)
	opens := e.Kind == EntryEmpty && r.status.Role == RoleLeader && r.status.Term == e.Term
	r.mu.Unlock()
	if waiter == nil {
		return opens
	}
	result := proposalResult{value: value}
	if waiter.term != e.Term {
		result = proposalResult{err: ErrNotLeader}
	}
	waiter.result <- result
	return opens
}

func (r *Replica) setApplied(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = index
	close(r.appliedUp)
	r.appliedUp = make(chan struct{})
}

// startSnapshot captures the state and saves it aside. It tells false while
// an earlier one is still being saved.
func (r *Replica) startSnapshot(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapping {
		return false
	}
	r.snapping = true
	encode := r.machine.Capture()
	r.done.Add(1)
	go r.saveSnapshot(index, encode)
	return true
}

func (r *Replica) saveSnapshot(index uint64, encode func() ([]byte, error)) {
	defer r.done.Done()
	defer func() {
		r.mu.Lock()
		r.snapping = false
		r.mu.Unlock()
	}()
	state, err := encode()
	if err != nil {
		r.fail(errors.Wrap(err, "encode snapshot"))
		return
	}
	type found struct {
		meta SnapshotMeta
		ok   bool
	}
	got := query(r.ctx, r, func() found {
		meta, ok := r.core.Meta(index)
		return found{
			meta: meta,
			ok:   ok,
		}
	})
	if !got.ok {
		return
	}
	if err := r.storage.SaveSnapshot(got.meta, state); err != nil {
		r.fail(err)
		return
	}
	r.do(func() { r.compact(got.meta) })
}

func (r *Replica) compact(meta SnapshotMeta) {
	if meta.Index <= r.core.snap.Index {
		return
	}
	r.core.Compact(meta, r.trailing)
	_, entries := r.core.Retained()
	stable := entries
	for n := len(stable); n > 0 && stable[n-1].Index > r.core.stable; n-- {
		stable = stable[:n-1]
	}
	if err := r.storage.Reset(r.core.hard, stable); err != nil {
		r.fail(err)
	}
}
