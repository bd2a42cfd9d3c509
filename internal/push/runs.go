package push

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/finish"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

// startSendGrace is how long after placement the reconciliation leaves a run's
// start to the goroutine that committed the placement. After that it sends the
// start itself, since nothing else would do so when the commit's result is
// uncertain.
const startSendGrace = time.Second

// unknownPercent is the pace of a run that an earlier leader may have paced.
const unknownPercent = -1

// maxUnknownStops bounds the stops that one listing causes for runs that the
// ledger does not have on the target.
const maxUnknownStops = 100

// runKey identifies a run on a target.
type runKey struct {
	task graph.TaskRef
	run  uint32
}

func keyOf(task graph.TaskRef, run uint32) runKey {
	return runKey{
		task: task,
		run:  run,
	}
}

// runState is the driver's view of a run.
type runState uint8

const (
	// runUnknown means that an earlier leader placed the run.
	runUnknown runState = iota
	// runPlaced means that the placement is committed and the start is about to
	// be sent.
	runPlaced
	// runSending means that the start is being sent.
	runSending
	// runStarted means that the target has accepted the start or listed the run.
	runStarted
	// runUncertain means that a start got no answer, or got its answer only after
	// earlier ones got none, so that it is unknown whether the run will start.
	runUncertain
	// runAbsent means that the run is certain never to start.
	runAbsent
	// runStopped means that the target has answered an order to stop the run.
	runStopped
)

// runInfo is the state that a driver keeps for a run.
type runInfo struct {
	state      runState
	changedAt  time.Time
	stopSentAt time.Time
	// startSent is true once a start may have reached the target, and listedAt is when
	// the target first listed the run.
	startSent bool
	listedAt  time.Time
	// sentAt is when this leader first sent the start, and takenAt when the target
	// answered it.
	sentAt  time.Time
	takenAt time.Time
	// takenByOwnClock is true if the only start was answered with a clock that is not behind
	// this incarnation's.
	takenByOwnClock bool
	// startBroken is true if the target's process ended while it had the start.
	startBroken bool
	// unlistedAt is when the target answered with the first list without the run since
	// it listed the run or its state changed.
	unlistedAt time.Time
	// startLost is true once a start was sent of which it is not known that this
	// incarnation of the target carried it out or never will.
	startLost bool
	// startArrivesBy is when no start of the run can be on its way any more.
	startArrivesBy time.Time
	// confined is true once no later incarnation of the target can have the run, as this
	// one answered after all starts of the run had arrived or were lost.
	confined bool
	// percent is the last acknowledged pace or unknownPercent, and pacing is true
	// while a new one is being sent.
	percent  int
	pacing   bool
	progress finish.Tracker
	// endNotAwaited is true for runs whose end no renewal needs to wait for,
	// which are those of long-running and best-effort tasks.
	endNotAwaited bool
	// startedAt is when the target answered the start of a run that began without a
	// checkpoint, estimate its estimated duration, and queue its queue.
	startedAt time.Time
	estimate  time.Duration
	queue     string
	// drained is true once the run is being stopped because its target leaves.
	drained bool
	// speculated is true once a second run of the task has been requested.
	speculated bool
}

// ledgerAssignments returns the runs that the ledger has on the target, by key.
func (d *driver) ledgerAssignments() map[runKey]graph.Assignment {
	list := d.leader.scheduler.ledger.Assignments(d.target.ID)
	assignments := make(map[runKey]graph.Assignment, len(list))
	for _, assignment := range list {
		assignments[keyOf(assignment.Task, assignment.Run)] = assignment
	}
	return assignments
}

// endOf returns the end of a run on the target, for the incarnation for which the
// ledger has the run. The driver's lock must not be held: a decision takes it while it
// reads the ledger.
func (d *driver) endOf(key runKey, outcome graph.RunOutcome) graph.RunEnd {
	return d.leader.endOf(d.target.ID, key, outcome)
}

// endOf returns the end of a run on the target, for the incarnation for which the ledger
// has the run.
func (l *leader) endOf(id graph.TargetID, key runKey, outcome graph.RunOutcome) graph.RunEnd {
	return graph.RunEnd{
		Target:  l.scheduler.ledger.HolderOf(id, key.task, key.run),
		Task:    key.task,
		Run:     key.run,
		Outcome: outcome,
	}
}

// reconcile compares the runs in the ledger with the listing of the target, whose
// request was sent at the given time. It starts and stops runs as needed, and
// commits as absent those that are certain not to run.
func (d *driver) reconcile(sent time.Time, assignments map[runKey]graph.Assignment, list RunList) {
	running := make(map[runKey]bool, len(list.Running))
	for _, r := range list.Running {
		running[keyOf(r.Task, r.Run)] = true
	}
	var absent []graph.RunEnd
	for key, assignment := range assignments {
		if d.reconcileRun(assignment, key, running[key], sent) {
			absent = append(absent, d.endOf(key, graph.OutcomeNeverStarted))
		}
	}
	unknown := 0
	for key := range running {
		if _, known := assignments[key]; known {
			continue
		}
		if unknown++; unknown > maxUnknownStops {
			break
		}
		d.stop(key)
	}
	d.removeFinishedRuns(assignments, sent)
	if len(absent) == 0 {
		return
	}
	if err := d.commitEnds(absent); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range absent {
		delete(d.runs, keyOf(e.Task, e.Run))
	}
}

// reconcileRun starts or stops one run as needed. It returns true if the run is
// not on the target and never will be.
func (d *driver) reconcileRun(assignment graph.Assignment, key runKey, listed bool, sent time.Time) bool {
	d.mu.Lock()
	info := d.runInfo(key)
	unlistedAt := info.updateListed(listed)
	info.confine(sent)
	state, since := info.state, sent.Sub(info.changedAt)
	wanted := assignment.Desired && !d.endsSoon(info)
	d.mu.Unlock()
	startable := wanted && (state != runUnknown || !d.leaves() && !d.isEvacuated())
	switch {
	case listed && !wanted:
		d.stop(key)
	case listed, state == runSending, state == runPlaced && since < startSendGrace:
	case state == runUnknown && startable, state == runPlaced && startable:
		return d.startUnsent(assignment, key, state)
	case state == runUnknown, state == runUncertain, state == runPlaced:
		d.stop(key)
	case state == runAbsent:
		return since > 0
	// A run that is ending may be in neither list, until its end is listed. It is absent
	// only if it stays unlisted longer than that: after the answer to its stop, or else
	// after the first list without it, as a stop may be carried out without an answer.
	case state == runStopped:
		return since > d.leader.scheduler.timing.StopSettleTime
	case state == runStarted:
		return sent.Sub(unlistedAt) > d.leader.scheduler.timing.StopSettleTime
	}
	return false
}

// updateListed records whether the target lists the run, and returns when it answered
// with the first list without it.
func (r *runInfo) updateListed(listed bool) time.Time {
	now := time.Now()
	switch {
	case !listed && r.unlistedAt.IsZero():
		r.unlistedAt = now
	case listed:
		r.unlistedAt = time.Time{}
	}
	if listed && r.listedAt.IsZero() {
		r.listedAt = now
	}
	if listed && r.state != runStopped && r.state != runSending {
		r.state = runStarted
	}
	return r.unlistedAt
}

// confine records that the incarnation has answered a request that was sent at the given
// time. No later one can take a start that had arrived or was lost by then.
func (r *runInfo) confine(sent time.Time) {
	if r.state == runSending || !sent.After(r.startArrivesBy) {
		return
	}
	r.confined = true
	r.startLost = false
}

// runInfo returns the state of the run, and creates it if there is none. The lock
// must be held.
func (d *driver) runInfo(key runKey) *runInfo {
	info := d.runs[key]
	if info != nil {
		return info
	}
	info = &runInfo{
		state:     runPlaced,
		changedAt: time.Now(),
		percent:   pace.FullSpeed,
	}
	if d.inherited[key] {
		info.state = runUnknown
		info.startSent = true
		info.startArrivesBy = d.grantsArriveBy
		info.percent = unknownPercent
	}
	if d.adopted[key] {
		info.state = runUncertain
		info.startSent = true
		info.startLost = true
		info.startArrivesBy = d.grantsArriveBy
		info.percent = unknownPercent
	}
	d.runs[key] = info
	return info
}

// forgetRun deletes the driver's state of a run.
func (d *driver) forgetRun(key runKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, key)
}

// removeFinishedRuns removes the state of runs that the ledger no longer has on
// the target. Runs that have changed since the request was sent are kept.
func (d *driver) removeFinishedRuns(assignments map[runKey]graph.Assignment, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, info := range d.runs {
		_, known := assignments[key]
		if !known && info.state != runSending && info.changedAt.Before(sent) && info.stopSentAt.Before(sent) {
			delete(d.runs, key)
		}
	}
}
