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
	mostDecisions = 256
	// checkpointTime is how long a target takes to checkpoint and stop.
	checkpointTime = 200 * time.Millisecond
	// drainLimit is how long after the last job a replay goes on.
	drainLimit = 30 * time.Minute
	// tickEvery is how often a decision is made when nothing happens.
	tickEvery = 100 * time.Millisecond
	keyID     = "replay-"
)

// requeuer is what an Engine has besides what the baseline can do.
type requeuer interface {
	Requeue(id sched.JobID, task int, attempt uint32, now time.Time)
}

// replay drives a decider and the ledger with the time of a trace.
type replay struct {
	trace   Trace
	decider sched.Decider
	ledger  *ledger.Ledger
	now     time.Time
	events  eventHeap
	order   int
	jobs    map[ledger.JobID]*replayJob
	meters  *meters
}

type replayJob struct {
	job     Job
	service Service
	// left is what each task still has to run, as checkpoints save it.
	left []time.Duration
	runs []running
}

type running struct {
	attempt ledger.Attempt
	target  string
	started time.Time
	stopped bool
}

// event is something that happens at a time of the trace.
type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and those of one time as they were added.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
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

// Replay runs the trace under the decider and returns what came of it.
func Replay(t Trace, decider sched.Decider) (Result, error) {
	r := &replay{
		trace:   t,
		decider: decider,
		ledger:  ledger.New(ledger.DefaultBounds()),
		now:     Epoch,
		jobs:    map[ledger.JobID]*replayJob{},
		meters:  newMeters(t),
	}
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	for i, j := range t.Jobs {
		r.at(Epoch.Add(time.Duration(j.At)*time.Millisecond), func() { r.submit(i, j) })
	}
	end := Epoch.Add(time.Duration(t.LengthMillis)*time.Millisecond + drainLimit)
	for len(r.events) > 0 && r.now.Before(end) {
		r.step()
	}
	return r.meters.result(r.ledger), nil
}

func (r *replay) at(when time.Time, do func()) {
	r.order++
	heap.Push(&r.events, event{
		at:    when,
		order: r.order,
		do:    do,
	})
}

// step lets everything of one time happen, and then decides. While work
// waits and nothing happens, time goes on in ticks.
func (r *replay) step() {
	next := r.events[0].at
	if tick := r.now.Add(tickEvery); next.After(tick) && r.meters.waiting > 0 {
		next = tick
	}
	r.now = next
	for len(r.events) > 0 && !r.events[0].at.After(r.now) {
		if e, ok := heap.Pop(&r.events).(event); ok {
			e.do()
		}
	}
	r.decide()
}

func (r *replay) apply(c ledger.Command) any {
	c.Time = ledger.Millis(r.now.UnixMilli())
	return r.ledger.Apply(c)
}

func (r *replay) setUp() error {
	n := note.Note{Number: 1}
	for _, team := range r.trace.Teams {
		r.decider.SetTeam(sched.Team{
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
				ID:     keyID + team.Name,
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
		r.decider.SetWorker(w)
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

// Workers returns the workers of the trace's fleet.
func (t Trace) Workers() []sched.Worker {
	var all []sched.Worker
	for _, group := range t.Fleet {
		for i := range group.Count {
			domain := group.Domains[i%len(group.Domains)]
			rack := i / len(group.Domains) / group.RackSize
			all = append(all, sched.Worker{
				ID:       fmt.Sprintf("%s-%d", group.Prefix, i+1),
				Capacity: group.Room,
				Slots:    group.Slots,
				Domain:   domain,
				Rack:     fmt.Sprintf("%s-%s-%d", group.Prefix, domain, rack+1),
			})
		}
	}
	return all
}

func (r *replay) submit(number int, j Job) {
	service := r.trace.Services[j.Service]
	result, _ := r.apply(ledger.Command{Submit: &ledger.Submit{
		Request: ledger.RequestKey{
			Scope: ledger.TeamScope(service.Team),
			ID:    requestID(r.now, number),
		},
		KeyID: keyID + service.Team,
		Spec: ledger.Spec{
			Service:    service.Name,
			Count:      j.Tasks,
			Room:       j.Room,
			Idempotent: service.Idempotent,
			RunMillis:  j.Declared,
		},
	}}).(ledger.SubmitResult)
	if result.Refusal != "" {
		r.meters.refused++
		return
	}
	record := &replayJob{
		job:     j,
		service: service,
		runs:    make([]running, j.Tasks),
	}
	for range j.Tasks {
		record.left = append(record.left, time.Duration(j.Run)*time.Millisecond)
	}
	r.jobs[result.Job] = record
	r.meters.waiting += j.Tasks
	r.decider.Submit(sched.Job{
		ID:          sched.JobID(result.Job),
		Team:        service.Team,
		Service:     service.Name,
		Kind:        kindOf(service.Kind),
		Room:        j.Room,
		Tasks:       j.Tasks,
		Urgent:      service.Urgent,
		Preemptible: service.Preemptible,
		Idempotent:  service.Idempotent,
		Submitted:   r.now,
		Run:         time.Duration(j.Declared) * time.Millisecond,
	})
}

func kindOf(kind note.Kind) sched.Kind {
	switch kind {
	case note.KindBatch:
		return sched.KindBatch
	case note.KindGang:
		return sched.KindGang
	}
	return sched.KindService
}

// requestID returns a version 7 UUID of the time and number.
func requestID(now time.Time, number int) string {
	var id uuid.UUID
	ms := now.UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 4 {
		id[15-i] = byte(number >> (8 * i))
	}
	return id.String()
}

func (r *replay) decide() {
	for {
		began := time.Now()
		decisions := r.decider.Decide(r.now, mostDecisions)
		r.meters.decided(time.Since(began), len(decisions))
		for _, d := range decisions {
			r.carryOut(d)
		}
		if len(decisions) < mostDecisions {
			return
		}
	}
}

func (r *replay) carryOut(d sched.Decision) {
	switch d.Verb {
	case sched.VerbPlace:
		r.place(d)
	case sched.VerbPreempt:
		for _, v := range d.Victims {
			r.preempt(v)
		}
	case sched.VerbRefuse:
		r.apply(ledger.Command{End: &ledger.End{Items: []ledger.EndItem{{
			Job:    ledger.JobID(d.Job),
			Reason: ledger.ReasonNeverFits,
			Detail: d.Reason,
		}}}})
		r.meters.waiting -= len(r.jobs[ledger.JobID(d.Job)].left)
	}
}

// place commits a placement and has its tasks start at once.
func (r *replay) place(d sched.Decision) {
	group := ledger.Group{Job: ledger.JobID(d.Job)}
	for _, s := range d.Spots {
		job, _ := r.ledger.Job(group.Job)
		group.Spots = append(group.Spots, ledger.Spot{
			Task:    s.Task,
			Attempt: job.Tasks[s.Task].Attempt + 1,
			Target:  s.Worker,
			Session: "replay",
		})
	}
	result, _ := r.apply(ledger.Command{Place: &ledger.Place{Groups: []ledger.Group{group}}}).(ledger.PlaceResult)
	record := r.jobs[group.Job]
	gang := record.service.Kind == note.KindGang
	for i, spot := range group.Spots {
		if result.Groups[0][i] != "" {
			r.meters.wrong++
			continue
		}
		attempt := ledger.Attempt{
			Job:    group.Job,
			Task:   spot.Task,
			Number: spot.Attempt,
		}
		if gang {
			r.report(spot.Target, ledger.Event{
				Attempt: attempt,
				Kind:    ledger.EventHeld,
			})
		}
		record.runs[spot.Task] = running{
			attempt: attempt,
			target:  spot.Target,
			started: r.now,
		}
	}
	for i, spot := range group.Spots {
		if result.Groups[0][i] == "" {
			r.start(record, spot.Task, d)
		}
	}
}

func (r *replay) start(record *replayJob, task int, d sched.Decision) {
	run := record.runs[task]
	r.report(run.target, ledger.Event{
		Attempt: run.attempt,
		Kind:    ledger.EventStarted,
	})
	r.meters.started(r.now, record, run.attempt.Number, d.Wait)
	r.at(r.now.Add(record.left[task]), func() { r.finish(record, task, run.attempt) })
}

func (r *replay) report(target string, e ledger.Event) {
	r.apply(ledger.Command{Report: &ledger.Report{
		Target:  target,
		Session: "replay",
		Events:  []ledger.Event{e},
	}})
}

func (r *replay) finish(record *replayJob, task int, attempt ledger.Attempt) {
	run := record.runs[task]
	if run.attempt != attempt || run.stopped {
		return
	}
	sum := sha256.Sum256(nil)
	r.report(run.target, ledger.Event{
		Attempt:  attempt,
		Kind:     ledger.EventFinished,
		Checksum: hex.EncodeToString(sum[:]),
	})
	record.runs[task].stopped = true
	r.meters.ended(r.now, record, run.started, true)
	r.decider.Finished(sched.JobID(attempt.Job), task, sched.Result{
		Now:     r.now,
		Ran:     r.now.Sub(run.started),
		Started: true,
	})
}

// preempt has a target checkpoint and stop an attempt.
func (r *replay) preempt(v sched.Victim) {
	record := r.jobs[ledger.JobID(v.Job)]
	run := record.runs[v.Task]
	r.apply(ledger.Command{Stop: &ledger.Stop{
		Attempts: []ledger.Attempt{run.attempt},
		Reason:   ledger.ReasonPreempted,
	}})
	r.at(r.now.Add(checkpointTime), func() { r.stopped(record, v.Task, run.attempt) })
}

func (r *replay) stopped(record *replayJob, task int, attempt ledger.Attempt) {
	run := record.runs[task]
	if run.attempt != attempt || run.stopped {
		return
	}
	r.report(run.target, ledger.Event{
		Attempt: attempt,
		Kind:    ledger.EventStopped,
	})
	record.runs[task].stopped = true
	record.left[task] = max(record.left[task]-r.now.Sub(run.started), 0)
	r.meters.ended(r.now, record, run.started, false)
	id := sched.JobID(attempt.Job)
	r.decider.Finished(id, task, sched.Result{
		Now:     r.now,
		Started: true,
	})
	if engine, ok := r.decider.(requeuer); ok {
		engine.Requeue(id, task, attempt.Number, r.now)
		r.meters.waiting++
	}
}

// roomOf returns the room of one task.
func (j *replayJob) roomOf() quota.Room {
	return j.job.Room
}
