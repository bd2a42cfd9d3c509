package trace

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

const (
	// maxDecisions is the maximum number of decisions per call of Decide.
	maxDecisions = 256
	// checkpointDuration is the time that a target takes to checkpoint and
	// stop a task.
	checkpointDuration = 200 * time.Millisecond
	// drainTimeout is the maximum duration of a replay after the submission
	// period.
	drainTimeout = 30 * time.Minute
	// tickInterval is the interval between decisions if no event occurs while
	// tasks are waiting.
	tickInterval = 100 * time.Millisecond
	keyIDPrefix  = "replay-"
)

// requeuer is implemented by sched.Engine, but not by the baseline.
type requeuer interface {
	Requeue(id sched.JobID, task int, attempt uint32, now time.Time)
}

// replay drives a scheduler and the ledger in the simulated time of a trace.
type replay struct {
	trace     Trace
	scheduler sched.Scheduler
	ledger    *ledger.Ledger
	now       time.Time
	events    eventHeap
	seq       int
	jobs      map[ledger.JobID]*replayJob
	metrics   *replayMetrics
}

type replayJob struct {
	job     Job
	service Service
	// remaining is the run time that each task has left after its last
	// checkpoint.
	remaining []time.Duration
	runs      []taskRun
}

type taskRun struct {
	attempt ledger.Attempt
	target  string
	started time.Time
	ended   bool
}

// event is a callback that is scheduled at a time of the trace.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and events of the same time by insertion.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Replay runs the trace with the scheduler and returns the measured result.
func Replay(t Trace, scheduler sched.Scheduler) (Result, error) {
	r := &replay{
		trace:     t,
		scheduler: scheduler,
		ledger:    ledger.New(ledger.DefaultLimits()),
		now:       Epoch,
		jobs:      map[ledger.JobID]*replayJob{},
		metrics:   newReplayMetrics(t),
	}
	if err := r.initialize(); err != nil {
		return Result{}, err
	}
	for i, j := range t.Jobs {
		r.schedule(Epoch.Add(time.Duration(j.SubmitMillis)*time.Millisecond), func() { r.submit(i, j) })
	}
	end := Epoch.Add(time.Duration(t.DurationMillis)*time.Millisecond + drainTimeout)
	for len(r.events) > 0 && r.now.Before(end) {
		r.step()
	}
	return r.metrics.result(r.ledger), nil
}

func (r *replay) schedule(at time.Time, run func()) {
	r.seq++
	heap.Push(&r.events, event{
		at:  at,
		seq: r.seq,
		run: run,
	})
}

// step advances to the next event time, runs all events that are due, and then
// applies the decisions of the policy. While tasks are waiting, time advances by
// at most one tick.
func (r *replay) step() {
	next := r.events[0].at
	if tick := r.now.Add(tickInterval); next.After(tick) && r.metrics.waitingTasks > 0 {
		next = tick
	}
	r.now = next
	for len(r.events) > 0 && !r.events[0].at.After(r.now) {
		if e, ok := heap.Pop(&r.events).(event); ok {
			e.run()
		}
	}
	r.decide()
}

func (r *replay) apply(c ledger.Command) any {
	c.Time = ledger.Millis(r.now.UnixMilli())
	return r.ledger.Apply(c)
}

func (r *replay) initialize() error {
	n := note.Note{Number: 1}
	for _, team := range r.trace.Teams {
		r.scheduler.SetTeam(sched.Team{
			Name:   team.Name,
			Weight: team.Share,
			Limit:  team.Limit,
		})
		n.Changes = append(n.Changes, note.Change{
			Op: note.OpAdd,
			Team: &note.Team{
				Name:  team.Name,
				Share: team.Share,
				Limit: team.Limit,
			},
		}, note.Change{
			Op: note.OpAdd,
			Key: &note.Key{
				ID:     keyIDPrefix + team.Name,
				Team:   team.Name,
				Digest: hex.EncodeToString(make([]byte, sha256.Size)),
			},
		})
	}
	for _, s := range r.trace.Services {
		n.Changes = append(n.Changes, note.Change{
			Op: note.OpAdd,
			Service: &note.Service{
				Name:        s.Name,
				Team:        s.Team,
				Kind:        s.Kind,
				Urgent:      s.Urgent,
				Preemptible: s.Preemptible,
			},
		})
	}
	if result, ok := r.apply(ledger.Command{Note: &n}).(ledger.NoteResult); ok && result.Err != nil {
		return result.Err
	}
	for _, w := range r.trace.Workers() {
		r.scheduler.SetWorker(w)
		r.apply(ledger.Command{Announce: &ledger.Announce{
			Target:   w.ID,
			Session:  "replay",
			Capacity: w.Capacity,
			Slots:    w.Slots,
			Rack:     w.Rack,
			Domain:   w.Domain,
		}})
	}
	return nil
}

// Workers expands the worker groups of the fleet.
func (t Trace) Workers() []sched.Worker {
	var workers []sched.Worker
	for _, group := range t.Fleet {
		for i := range group.Count {
			domain := group.Domains[i%len(group.Domains)]
			rack := i / len(group.Domains) / group.RackSize
			workers = append(workers, sched.Worker{
				ID:       fmt.Sprintf("%s-%d", group.Prefix, i+1),
				Capacity: group.Resources,
				Slots:    group.Slots,
				Domain:   domain,
				Rack:     fmt.Sprintf("%s-%s-%d", group.Prefix, domain, rack+1),
			})
		}
	}
	return workers
}

func (r *replay) submit(index int, j Job) {
	service := r.trace.Services[j.Service]
	result, _ := r.apply(ledger.Command{Submit: &ledger.Submit{
		Request: ledger.RequestKey{
			Scope: ledger.TeamScope(service.Team),
			ID:    requestID(r.now, index),
		},
		KeyID: keyIDPrefix + service.Team,
		Spec: ledger.Spec{
			Service:    service.Name,
			Count:      j.Tasks,
			Resources:  j.Resources,
			Idempotent: service.Idempotent,
			RunMillis:  j.DeclaredRunMillis,
		},
	}}).(ledger.SubmitResult)
	if result.Refusal != "" {
		r.metrics.refusedJobs++
		return
	}
	job := &replayJob{
		job:     j,
		service: service,
		runs:    make([]taskRun, j.Tasks),
	}
	for range j.Tasks {
		job.remaining = append(job.remaining, time.Duration(j.RunMillis)*time.Millisecond)
	}
	r.jobs[result.Job] = job
	r.metrics.waitingTasks += j.Tasks
	r.scheduler.Submit(sched.Job{
		ID:              sched.JobID(result.Job),
		Team:            service.Team,
		Service:         service.Name,
		Kind:            schedulerKind(service.Kind),
		Resources:       j.Resources,
		Tasks:           j.Tasks,
		Urgent:          service.Urgent,
		Preemptible:     service.Preemptible,
		Idempotent:      service.Idempotent,
		Submitted:       r.now,
		DeclaredRunTime: time.Duration(j.DeclaredRunMillis) * time.Millisecond,
	})
}

func schedulerKind(kind note.Kind) sched.Kind {
	switch kind {
	case note.KindBatch:
		return sched.KindBatch
	case note.KindGang:
		return sched.KindGang
	}
	return sched.KindService
}

// requestID returns a version 7 UUID made from the time and the index of a job.
func requestID(now time.Time, index int) string {
	var id uuid.UUID
	ms := now.UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 4 {
		id[15-i] = byte(index >> (8 * i))
	}
	return id.String()
}

func (r *replay) decide() {
	for {
		start := time.Now()
		decisions := r.scheduler.Decide(r.now, maxDecisions)
		r.metrics.decisionsMade(time.Since(start), len(decisions))
		for _, d := range decisions {
			r.execute(d)
		}
		if len(decisions) < maxDecisions {
			return
		}
	}
}

func (r *replay) execute(d sched.Decision) {
	switch d.Type {
	case sched.DecisionPlace:
		r.place(d)
	case sched.DecisionPreempt:
		for _, v := range d.Victims {
			r.preempt(v)
		}
	case sched.DecisionRefuse:
		r.apply(ledger.Command{End: &ledger.End{Items: []ledger.EndItem{{
			Job:    ledger.JobID(d.Job),
			Reason: ledger.ReasonNeverFits,
			Detail: d.Reason,
		}}}})
		r.metrics.waitingTasks -= len(r.jobs[ledger.JobID(d.Job)].remaining)
	}
}

// place applies a placement to the ledger and starts the accepted tasks
// immediately.
func (r *replay) place(d sched.Decision) {
	group := ledger.JobPlacements{Job: ledger.JobID(d.Job)}
	for _, s := range d.Placements {
		job, _ := r.ledger.Job(group.Job)
		group.Placements = append(group.Placements, ledger.Placement{
			Task:    s.Task,
			Attempt: job.Tasks[s.Task].Attempt + 1,
			Target:  s.Worker,
			Session: "replay",
		})
	}
	result, _ := r.apply(ledger.Command{Place: &ledger.Place{Groups: []ledger.JobPlacements{group}}}).(ledger.PlaceResult)
	job := r.jobs[group.Job]
	gang := job.service.Kind == note.KindGang
	for i, placement := range group.Placements {
		if result.Groups[0][i] != "" {
			r.metrics.invalidPlacements++
			continue
		}
		attempt := ledger.Attempt{
			Job:    group.Job,
			Task:   placement.Task,
			Number: placement.Attempt,
		}
		if gang {
			r.report(placement.Target, ledger.Event{
				Attempt: attempt,
				Kind:    ledger.EventHeld,
			})
		}
		job.runs[placement.Task] = taskRun{
			attempt: attempt,
			target:  placement.Target,
			started: r.now,
		}
	}
	for i, placement := range group.Placements {
		if result.Groups[0][i] == "" {
			r.startTask(job, placement.Task, d)
		}
	}
}

func (r *replay) startTask(job *replayJob, task int, d sched.Decision) {
	run := job.runs[task]
	r.report(run.target, ledger.Event{
		Attempt: run.attempt,
		Kind:    ledger.EventStarted,
	})
	r.metrics.taskStarted(r.now, job, run.attempt.Number, d.Wait)
	r.schedule(r.now.Add(job.remaining[task]), func() { r.finishTask(job, task, run.attempt) })
}

func (r *replay) report(target string, e ledger.Event) {
	r.apply(ledger.Command{Report: &ledger.Report{
		Target:  target,
		Session: "replay",
		Events:  []ledger.Event{e},
	}})
}

func (r *replay) finishTask(job *replayJob, task int, attempt ledger.Attempt) {
	run := job.runs[task]
	if run.attempt != attempt || run.ended {
		return
	}
	sum := sha256.Sum256(nil)
	r.report(run.target, ledger.Event{
		Attempt:  attempt,
		Kind:     ledger.EventFinished,
		Checksum: hex.EncodeToString(sum[:]),
	})
	job.runs[task].ended = true
	r.metrics.taskEnded(r.now, job, run.started, true)
	r.scheduler.Finished(sched.JobID(attempt.Job), task, sched.Result{
		EndedAt: r.now,
		RunTime: r.now.Sub(run.started),
		Started: true,
	})
}

// preempt stops an attempt, which ends after its target has checkpointed it.
func (r *replay) preempt(v sched.Victim) {
	job := r.jobs[ledger.JobID(v.Job)]
	run := job.runs[v.Task]
	r.apply(ledger.Command{Stop: &ledger.Stop{
		Attempts: []ledger.Attempt{run.attempt},
		Reason:   ledger.ReasonPreempted,
	}})
	r.schedule(r.now.Add(checkpointDuration), func() { r.finishPreemption(job, v.Task, run.attempt) })
}

func (r *replay) finishPreemption(job *replayJob, task int, attempt ledger.Attempt) {
	run := job.runs[task]
	if run.attempt != attempt || run.ended {
		return
	}
	r.report(run.target, ledger.Event{
		Attempt: attempt,
		Kind:    ledger.EventStopped,
	})
	job.runs[task].ended = true
	job.remaining[task] = max(job.remaining[task]-r.now.Sub(run.started), 0)
	r.metrics.taskEnded(r.now, job, run.started, false)
	id := sched.JobID(attempt.Job)
	r.scheduler.Finished(id, task, sched.Result{
		EndedAt: r.now,
		Started: true,
	})
	if engine, ok := r.scheduler.(requeuer); ok {
		engine.Requeue(id, task, attempt.Number, r.now)
		r.metrics.waitingTasks++
	}
}

// resources returns the resources of one task.
func (j *replayJob) resources() quota.Resources {
	return j.job.Resources
}
