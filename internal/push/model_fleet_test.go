package push

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
)

const (
	modelMaxLease   = 6 * time.Second
	modelStopTime   = 900 * time.Millisecond
	modelCPU        = 4000
	modelTransit    = 20 * time.Millisecond
	modelCancelTime = 3 * time.Second
	modelDrainTime  = 2 * time.Second
	// modelNoteTime is how long a start may be on its way after an end was acknowledged.
	modelNoteTime    = time.Second
	modelMinLateness = 2 * time.Second
	modelMaxLateness = 6 * time.Second
)

// modelFleet are targets in virtual time that follow the protocol. They record what breaks a
// rule, as the targets see it.
type modelFleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	targets []*modelTarget
	jobs    map[graph.JobID]*modelJob
	// late is the share of the starts and stops that are not answered and carried out
	// late, and lost the share of all answers that get lost.
	late, lost float64
	// lateAcrossLives is true if a life carries orders out late that were meant for an
	// older one.
	lateAcrossLives bool
	// evacuated has the failure domains whose evacuation was acknowledged, and when.
	evacuated map[string]time.Time
	// isLate is true while an order is carried out late. The rules with a time bound do
	// not hold for it.
	isLate bool
	// checkTickets is true if starts need tickets, and refusedTickets counts those refused.
	checkTickets   bool
	refusedTickets int

	broken   []string
	starts   int
	messages int
}

// modelJob is what a client knows of its job.
type modelJob struct {
	spec      []graph.Step
	cancelled time.Time
	// refused is set if the submission was refused, which says that it never runs.
	refused bool
	// done has the tasks that have ended done, and noted those of which the end was
	// acknowledged. failed counts the acknowledged failed ends.
	done, noted map[graph.TaskRef]bool
	failed      map[graph.TaskRef]int
	// ackedBy has the term of the leader that has acknowledged an end done, and ackedAt
	// when it has.
	ackedBy map[graph.TaskRef]uint64
	ackedAt map[graph.TaskRef]time.Time
}

// modelTarget is one target, which may have several lives.
type modelTarget struct {
	fleet   *modelFleet
	id      string
	domain  string
	up      bool
	leaving bool
	// confirmed is when it was first confirmed that the target leaves.
	confirmed time.Time
	// leavesAt is when a target that leaves ends, or zero if it does not say.
	leavesAt time.Time
	// deaf targets get no order, and the answers and heartbeats of mute ones get lost.
	// Connections to those that refuse are refused though they run.
	deaf, mute, refuses bool
	born                int64
	started             time.Time
	clockStart          Clock
	token               uint64
	deadline            Clock
	seq, beats          uint64
	running             map[graph.TaskRef]*modelRun
	highest             map[graph.TaskRef]uint32
	ended               []modelEnd
}

type modelRun struct {
	run     uint32
	started time.Time
	endsAt  time.Time
	how     graph.RunOutcome
	stopsAt time.Time
}

// modelEnd is an end that is not acknowledged. lapsed is true if the lease has lapsed since.
type modelEnd struct {
	EndedRun
	lapsed bool
}

var _ Targets = (*modelFleet)(nil)

func (f *modelFleet) breakRule(format string, args ...any) {
	f.broken = append(f.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// startLife starts the next life of the target. Each knows nothing of those before. The lock
// must be held.
func (t *modelTarget) startLife() {
	t.up = true
	t.leaving = false
	t.confirmed = time.Time{}
	t.leavesAt = time.Time{}
	t.started = time.Now()
	t.born = t.started.UnixMilli()
	t.clockStart = Clock(time.Second)
	t.token, t.deadline, t.seq, t.beats = 0, 0, 0, 0
	t.running, t.highest, t.ended = map[graph.TaskRef]*modelRun{}, map[graph.TaskRef]uint32{}, nil
}

func (t *modelTarget) crash() {
	t.up = false
	clear(t.running)
}

func (t *modelTarget) clock() Clock {
	return Clock(time.Since(t.started)) + t.clockStart
}

// advance ends the runs that are due. The lock must be held.
func (f *modelFleet) advance() {
	now := time.Now()
	for _, t := range f.targets {
		lapsed := t.up && t.clock() > t.deadline
		for i := range t.ended {
			t.ended[i].lapsed = t.ended[i].lapsed || lapsed
		}
		for ref, r := range t.running {
			switch {
			case lapsed:
				f.end(t, ref, r.run, graph.OutcomeLeaseExpired)
			case !r.stopsAt.IsZero():
				if now.After(r.stopsAt) {
					f.end(t, ref, r.run, graph.OutcomeStopped)
				}
			case now.After(r.endsAt):
				f.end(t, ref, r.run, f.outcomeOf(ref, r))
			}
		}
	}
}

// outcomeOf returns how a run ends whose time has come. The members of a gang work only
// together. The lock must be held.
func (f *modelFleet) outcomeOf(ref graph.TaskRef, r *modelRun) graph.RunOutcome {
	step := f.jobs[ref.Job].spec[ref.Step]
	if !step.Gang || r.how != graph.OutcomeDone {
		return r.how
	}
	present := 0
	for _, t := range f.targets {
		for member, other := range t.running {
			if member.Job == ref.Job && member.Step == ref.Step && other.run == r.run && other.stopsAt.IsZero() {
				present++
			}
		}
	}
	if present < step.Count {
		return graph.OutcomeGangTimedOut
	}
	return r.how
}

// end ends a run. The members of a gang end together: one end done is that of all, and any
// other breaks the others. The lock must be held.
func (f *modelFleet) end(t *modelTarget, ref graph.TaskRef, run uint32, how graph.RunOutcome) {
	delete(t.running, ref)
	t.highest[ref] = max(t.highest[ref], run)
	t.seq++
	t.ended = append(t.ended, modelEnd{EndedRun: EndedRun{
		Seq:     t.seq,
		Task:    ref,
		Run:     run,
		Outcome: how,
	}})
	job := f.jobs[ref.Job]
	if how == graph.OutcomeDone {
		job.done[ref] = true
	}
	if !job.spec[ref.Step].Gang {
		return
	}
	for _, other := range f.targets {
		for member, r := range other.running {
			same := member.Job == ref.Job && member.Occurrence == ref.Occurrence && member.Step == ref.Step
			switch {
			case !same || r.run != run:
			case how == graph.OutcomeDone:
				f.end(other, member, run, graph.OutcomeDone)
			case r.endsAt.After(time.Now()):
				r.endsAt, r.how = time.Now(), graph.OutcomeGangBroken
			}
		}
	}
}

// call brings an order to its target and back. Whichever life of the target has the id carries
// it out.
func (f *modelFleet) call(
	ctx context.Context, t *graph.Target, token uint64, mayBeLate bool, carryOut func(*modelTarget) error,
) (Clock, error) {
	f.mu.Lock()
	f.messages++
	wait := time.Duration(f.random.Int64N(int64(modelTransit)))
	f.mu.Unlock()
	if !group.SleepContext(ctx, wait) {
		return 0, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	target := f.target(t.Address)
	if target.up && !target.deaf && t.Address != t.ID.ID {
		return 0, ErrOtherTarget
	}
	if !target.deaf && (!target.up || target.refuses) {
		return 0, ErrDown
	}
	if !target.up || target.deaf {
		f.loseAnswer(ctx)
		return 0, ErrNoAnswer
	}
	mayBeLate = mayBeLate && (f.lateAcrossLives || target.born == t.ID.Incarnation)
	if mayBeLate && f.random.Float64() < f.late {
		f.carryOutLate(target, token, carryOut)
		f.loseAnswer(ctx)
		return 0, ErrNoAnswer
	}
	if token < target.token {
		return 0, ErrFenced
	}
	target.token = token
	err := carryOut(target)
	clock := target.clock()
	if target.mute || f.random.Float64() < f.lost {
		f.loseAnswer(ctx)
		return 0, ErrNoAnswer
	}
	return clock, err
}

// carryOutLate has the life of the target that got the order carry it out some seconds later.
func (f *modelFleet) carryOutLate(target *modelTarget, token uint64, carryOut func(*modelTarget) error) {
	born := target.born
	lateness := modelMinLateness + time.Duration(f.random.Int64N(int64(modelMaxLateness-modelMinLateness)))
	time.AfterFunc(lateness, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advance()
		if target.up && target.born == born && token >= target.token {
			target.token = token
			f.isLate = true
			_ = carryOut(target)
			f.isLate = false
		}
	})
}

// loseAnswer waits until the caller has given up. The lock must be held.
func (f *modelFleet) loseAnswer(ctx context.Context) {
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
}

func (f *modelFleet) target(id string) *modelTarget {
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return &modelTarget{}
}

func (t *modelTarget) extend(deadline Clock) {
	t.deadline = max(t.deadline, min(deadline, t.clock()+Clock(modelMaxLease)))
}

func (f *modelFleet) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	return f.call(ctx, t, order.Token, true, func(target *modelTarget) error {
		return f.start(target, order)
	})
}

// start starts a run, or refuses it. The lock must be held.
func (f *modelFleet) start(t *modelTarget, order Start) error {
	r := t.running[order.Task]
	switch {
	case order.Deadline < t.clock():
		return ErrRefused
	case r != nil && r.run == order.Run && r.stopsAt.IsZero():
		t.extend(order.Deadline)
		return nil
	case r != nil, order.Run <= t.highest[order.Task]:
		t.extend(order.Deadline)
		return ErrRefused
	}
	t.extend(order.Deadline)
	if f.checkTickets && !f.acceptsTicket(t, order) {
		return ErrRefused
	}
	f.starts++
	f.checkStart(t, order)
	f.checkEvacuated(t, order)
	job := f.jobs[order.Task.Job]
	t.running[order.Task] = f.newRun(job.spec[order.Task.Step], order.Run)
	return nil
}

// newRun returns a run with an end drawn by lot.
func (f *modelFleet) newRun(step graph.Step, run uint32) *modelRun {
	now := time.Now()
	r := &modelRun{
		run:     run,
		started: now,
		endsAt:  now.Add(300*time.Millisecond + time.Duration(f.random.Int64N(int64(3*time.Second)))),
		how:     graph.OutcomeDone,
	}
	if f.random.Float64() < 0.1 {
		r.how = graph.OutcomeFailed
	}
	if step.LongRunning && f.random.Float64() < 0.7 {
		r.endsAt = now.Add(time.Hour)
	}
	return r
}

// checkStart checks the rules for starts. The lock must be held.
func (f *modelFleet) checkStart(t *modelTarget, order Start) {
	ref, job := order.Task, f.jobs[order.Task.Job]
	name := ref.RunName(order.Run)
	if job == nil {
		f.breakRule("UNASKED: %s of %s, which nobody submitted", name, ref.Job)
		return
	}
	if job.refused {
		f.breakRule("REFUSED: %s of %s starts on %s, which was told that it never runs", name, ref.Job, t.id)
	}
	step := job.spec[ref.Step]
	for _, other := range f.targets {
		if r := other.running[ref]; r != nil && other.up {
			f.breakRule("TWICE: %s of %s starts on %s while run %d is at work on %s", name, ref.Job, t.id, r.run, other.id)
		}
	}
	if job.noted[ref] {
		f.breakRule("TWICE: %s of %s starts on %s after its end done was acknowledged", name, ref.Job, t.id)
	}
	if !t.confirmed.IsZero() && time.Since(t.confirmed) > modelDrainTime && !f.isLate {
		f.breakRule("DRAIN: %s of %s starts on %s, which leaves", name, ref.Job, t.id)
	}
	if job.ackedBy[ref] == order.Token && time.Since(job.ackedAt[ref]) > modelNoteTime && !f.isLate {
		f.breakRule("AGAIN: %s of %s starts on %s by the leader that has acknowledged its end done", name, ref.Job, t.id)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > modelCancelTime && !f.isLate {
		f.breakRule("UNASKED: %s of %s starts on %s after its cancel", name, ref.Job, t.id)
	}
	for _, before := range step.DependsOn {
		for i := range job.spec[before].Count {
			dependency := graph.TaskRef{
				Job:   ref.Job,
				Step:  before,
				Index: i,
			}
			if !job.done[dependency] {
				f.breakRule("ORDER: %s of %s starts on %s before %s is done", name, ref.Job, t.id, dependency.RunName(0))
			}
		}
	}
	if !step.LongRunning && !step.Gang && job.failed[ref] >= modelAttempts {
		f.breakRule("BUDGET: %s of %s starts on %s after %d failed runs", name, ref.Job, t.id, job.failed[ref])
	}
	used := step.Resources.CPU
	for other := range t.running {
		used += f.jobs[other.Job].spec[other.Step].Resources.CPU
	}
	if used > modelCPU {
		f.breakRule("LIMIT: %s of %s brings %s to %d", name, ref.Job, t.id, used)
	}
}

func (f *modelFleet) Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error) {
	return f.call(ctx, t, order.Token, true, func(target *modelTarget) error {
		target.highest[order.Task] = max(target.highest[order.Task], order.Run)
		if r := target.running[order.Task]; r != nil && r.run == order.Run && r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(time.Duration(f.random.Int64N(int64(modelStopTime))))
		}
		return nil
	})
}

func (f *modelFleet) RenewLease(ctx context.Context, t *graph.Target, renewal LeaseRenewal) (RunList, error) {
	until := time.Now().Add(renewal.Wait)
	for {
		var list RunList
		var born int64
		clock, err := f.call(ctx, t, renewal.Token, false, func(target *modelTarget) error {
			target.extend(renewal.Deadline)
			f.acknowledge(target, renewal)
			list, born = target.list(), target.born
			return nil
		})
		switch {
		case err != nil:
			return RunList{}, err
		case born != t.ID.Incarnation:
			return RunList{}, &RestartedError{Incarnation: born}
		case len(list.Ended) > 0 || time.Now().After(until):
			list.Clock = clock
			return list, nil
		}
		if !group.SleepContext(ctx, 20*time.Millisecond) {
			return RunList{}, ErrNoAnswer
		}
	}
}

// acknowledge forgets the ends up to the number. An end whose lease has lapsed since is not
// taken note of, by the rules. The lock must be held.
func (f *modelFleet) acknowledge(t *modelTarget, renewal LeaseRenewal) {
	for len(t.ended) > 0 && t.ended[0].Seq <= renewal.Acked {
		end := t.ended[0]
		t.ended = t.ended[1:]
		job := f.jobs[end.Task.Job]
		done := end.Outcome == graph.OutcomeDone && !job.spec[end.Task.Step].LongRunning
		if done {
			job.ackedBy[end.Task] = renewal.Token
			job.ackedAt[end.Task] = time.Now()
		}
		switch {
		case end.lapsed:
		case done:
			job.noted[end.Task] = true
		case end.Outcome == graph.OutcomeFailed:
			job.failed[end.Task]++
		}
	}
}

// list returns the lists of the target. A run that is being stopped is in neither.
func (t *modelTarget) list() RunList {
	var list RunList
	for ref, r := range t.running {
		if !r.stopsAt.IsZero() {
			continue
		}
		percent := 100 * min(1, time.Since(r.started).Seconds()/r.endsAt.Sub(r.started).Seconds())
		list.Running = append(list.Running, ActiveRun{
			Task:    ref,
			Run:     r.run,
			Percent: percent,
		})
	}
	for _, end := range t.ended {
		list.Ended = append(list.Ended, end.EndedRun)
	}
	return list
}

func (f *modelFleet) Pace(context.Context, *graph.Target, Pace) (Clock, error) { return 0, nil }

func (f *modelFleet) Release(*graph.Target) {}
