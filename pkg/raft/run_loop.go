package raft

import (
	"time"

	"github.com/go-faster/errors"
)

// run is the main loop of the replica. No other goroutine accesses the core.
func (r *Replica) run() {
	defer r.wg.Done()
	defer close(r.applyCh)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
		r.drainInputs()
		// A failed step may have left messages that acknowledge what was not saved.
		if r.ctx.Err() != nil {
			return
		}
		if err := r.process(); err != nil {
			r.fail(err)
			return
		}
	}
}

// drainInputs processes the queued messages, the timeouts that have expired, and the
// queued calls and proposals. Messages come first: those that arrived during a slow sync
// may show that the leader is alive, or that a quorum still follows this replica.
func (r *Replica) drainInputs() {
	r.mu.Lock()
	inbox, proposals, calls := r.inbox, r.proposals, r.calls
	r.inbox, r.proposals, r.calls = nil, nil, nil
	r.mu.Unlock()
	now := r.clock()
	for _, m := range inbox {
		r.step(m, now)
	}
	// The replica may have been suspended for longer than its leadership lasts.
	r.core.Tick(now)
	for _, call := range calls {
		call()
	}
	for _, p := range proposals {
		r.startProposal(p)
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

// install persists a snapshot that the core has just accepted from the leader, and
// passes it to the state machine.
func (r *Replica) install(state []byte) error {
	meta := *r.core.installed
	if err := r.storage.SaveSnapshot(meta, state); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	hardState := HardState{
		Term:   r.core.term,
		Vote:   r.core.vote,
		Commit: meta.Index,
	}
	if err := r.storage.ReplaceLog(hardState, nil); err != nil {
		return errors.Wrap(err, "install snapshot")
	}
	r.core.installed = nil
	r.enqueueApply(applyItem{
		install: &meta,
		state:   state,
	})
	return nil
}

// startProposal appends the proposal to the log and registers it to receive the
// result once its entry is applied. An earlier proposal still waiting at the same
// index fails with ErrUncertain.
func (r *Replica) startProposal(p *proposal) {
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
	replaced := r.waiters[index]
	r.waiters[index] = p
	r.mu.Unlock()
	if replaced != nil {
		replaced.result <- proposalResult{err: ErrUncertain}
	}
}

// process does the work that the core has due, until nothing is left to apply.
func (r *Replica) process() error {
	for {
		wasLeader := r.Status().Role == RoleLeader
		for _, lost := range r.core.TakeLostLeads() {
			r.onLostLead(lost)
		}
		for _, refused := range r.core.TakeRefusedVotes() {
			r.onRefusedVote(refused)
		}
		ready := r.core.Ready()
		r.send(ready.MessagesBeforeSync)
		if ready.HardStateChanged || len(ready.Entries) > 0 {
			if err := r.storage.Persist(ready.HardState, ready.Entries); err != nil {
				return errors.Wrap(err, "persist")
			}
		}
		r.core.Advance(ready, r.clock())
		r.send(ready.MessagesAfterSync)
		r.publishStatus()
		if wasLeader && r.core.role != RoleLeader {
			r.enqueueApply(applyItem{lostLeadership: true})
		}
		if len(ready.Committed) > 0 {
			r.enqueueApply(applyItem{entries: ready.Committed})
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

// publishStatus makes the status and the lease of the core available to other
// goroutines.
func (r *Replica) publishStatus() {
	status := r.core.Status()
	leaseUntil := r.core.LeaseUntil()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopErr != nil {
		return
	}
	r.status = status
	r.leaseUntil = leaseUntil
}

// send passes the messages to the transport. Snapshots are loaded and sent in the
// background.
func (r *Replica) send(messages []Message) {
	if len(messages) == 0 {
		return
	}
	ordinary := messages[:0]
	for _, m := range messages {
		if m.Kind == MessageSnapshot {
			r.wg.Add(1)
			go r.sendSnapshot(m)
			continue
		}
		ordinary = append(ordinary, m)
	}
	r.transport.Send(ordinary)
}

func (r *Replica) sendSnapshot(m Message) {
	defer r.wg.Done()
	meta, state, err := r.storage.LoadSnapshot()
	if err == nil {
		m.Snapshot = &meta
		m.State = state
		err = r.transport.SendSnapshot(r.ctx, m)
	}
	if err != nil {
		r.runOnLoop(func() { r.core.SnapshotFailed(m) })
		return
	}
	r.runOnLoop(func() { r.core.SnapshotDelivered(m) })
}

func (r *Replica) enqueueApply(item applyItem) {
	select {
	case r.applyCh <- item:
	case <-r.ctx.Done():
	}
}

// applyLoop applies committed entries and installed snapshots to the state machine.
// lastSnapshot is the index of the newest snapshot.
func (r *Replica) applyLoop(lastSnapshot uint64) {
	defer r.wg.Done()
	logBytes := 0
	leading := false
	defer func() {
		if leading {
			r.machine.LostLeadership()
		}
	}()
	for item := range r.applyCh {
		if item.install != nil {
			if err := r.machine.Restore(item.state); err != nil {
				r.fail(errors.Wrap(err, "restore state"))
				return
			}
			lastSnapshot = item.install.Index
			logBytes = 0
			r.setApplied(lastSnapshot)
		}
		if item.lostLeadership && leading {
			leading = false
			r.machine.LostLeadership()
		}
		for _, e := range item.entries {
			logBytes += len(e.Data) + entryOverhead
			if r.applyEntry(e) && !leading {
				leading = true
				r.machine.BecameLeader(e.Term)
			}
		}
		if n := len(item.entries); n > 0 {
			last := item.entries[n-1].Index
			r.setApplied(last)
			due := last-lastSnapshot >= r.snapshotInterval || logBytes >= r.maxLogBytes
			if due && r.startSnapshot(last) {
				lastSnapshot = last
				logBytes = 0
			}
		}
	}
}

// applyEntry applies an entry and passes the result to its proposer. It reports
// whether the entry is the empty one that starts a term which this replica leads.
func (r *Replica) applyEntry(e Entry) bool {
	var value any
	if e.Kind == EntryCommand {
		value = r.machine.Apply(e.Index, e.Data)
	}
	r.mu.Lock()
	waiter := r.waiters[e.Index]
	delete(r.waiters, e.Index)
	startsTerm := e.Kind == EntryEmpty && r.status.Role == RoleLeader && r.status.Term == e.Term
	r.mu.Unlock()
	if waiter == nil {
		return startsTerm
	}
	result := proposalResult{value: value}
	if waiter.term != e.Term {
		result = proposalResult{err: ErrNotLeader}
	}
	waiter.result <- result
	return startsTerm
}

// setApplied publishes the applied index and wakes up the reads that wait for it.
func (r *Replica) setApplied(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = index
	close(r.appliedChanged)
	r.appliedChanged = make(chan struct{})
}

// startSnapshot captures the state and saves a snapshot in the background, unless
// an earlier snapshot is still being saved. It reports whether it started.
func (r *Replica) startSnapshot(index uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.savingSnapshot {
		return false
	}
	r.savingSnapshot = true
	encode := r.machine.Snapshot()
	r.wg.Add(1)
	go r.saveSnapshot(index, encode)
	return true
}

// saveSnapshot encodes the captured state and saves it as the snapshot at the index.
func (r *Replica) saveSnapshot(index uint64, encode func() ([]byte, error)) {
	defer r.wg.Done()
	defer func() {
		r.mu.Lock()
		r.savingSnapshot = false
		r.mu.Unlock()
	}()
	state, err := encode()
	if err != nil {
		r.fail(errors.Wrap(err, "encode snapshot"))
		return
	}
	type metaResult struct {
		meta SnapshotMeta
		ok   bool
	}
	got := query(r.ctx, r, func() metaResult {
		meta, ok := r.core.SnapshotMetaAt(index)
		return metaResult{
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
	r.runOnLoop(func() { r.compact(got.meta) })
}

// compact discards the entries covered by the snapshot from the core and from the
// storage.
func (r *Replica) compact(meta SnapshotMeta) {
	if meta.Index <= r.core.snapshot.Index {
		return
	}
	r.core.Compact(meta, min(r.trailingEntries, r.core.log.countBefore(meta.Index, r.maxLogBytes)))
	_, entries := r.core.Retained()
	stable := entries
	for n := len(stable); n > 0 && stable[n-1].Index > r.core.stable; n-- {
		stable = stable[:n-1]
	}
	if err := r.storage.ReplaceLog(r.core.hardState, stable); err != nil {
		r.fail(err)
	}
}
