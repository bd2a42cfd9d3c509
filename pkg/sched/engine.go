package sched

import (
	"container/heap"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// taskStage is the scheduling state of a task.
type taskStage uint8

const (
	stageIdle taskStage = iota + 1
	stageWaiting
	stagePlaced
)

type taskRecord struct {
	stage       taskStage
	attempt     uint32
	item        *queueItem
	placement   *placement
	lastWorker  string
	preemptions int
	failures    int
}

type jobRecord struct {
	Job
	tasks []taskRecord
	// gangItem is the single queue item of a gang.
	gangItem *queueItem
	// reservedWorkers are the workers reserved for the job.
	reservedWorkers []*worker
	reservedAt      time.Time
	// dequeued jobs have no queued tasks, and the tasks of their reverted
	// placements are not queued again.
	dequeued bool
	// unschedulable is set while the job cannot run on the fleet as it is;
	// unschedulableSince is the start of its grace period.
	unschedulable      bool
	unschedulableSince time.Time
}

// Engine is a scheduler. Its methods are safe for concurrent use.
type Engine struct {
	mu            sync.Mutex
	settings      settings
	fleet         *fleet
	view          *View
	policies      *Registry[Policy[*Job]]
	teams         map[string]*teamRecord
	jobs          map[JobID]*jobRecord
	services      map[serviceKey]*serviceRecord
	spread        map[spreadKey]int
	delayed       delayed
	unschedulable []*jobRecord
	quarantined   []*worker
	reservedJobs  []*jobRecord
	teamScratch   []*teamRecord
	// fleetVersion is incremented on every change that may let blocked work
	// fit. freed lists the workers on which resources were freed since the
	// last Decide, and onlyFreed is set if there was no other change.
	fleetVersion uint64
	freed        []*worker
	onlyFreed    bool
	nextAging    time.Time
	decisions    []Decision
}

var _ Scheduler = (*Engine)(nil)

// NewEngine returns an Engine without workers, teams or jobs.
func NewEngine(opts ...Option) *Engine {
	s := defaultSettings()
	for _, opt := range opts {
		opt(&s)
	}
	e := &Engine{
		settings:     s,
		fleet:        newFleet(s.makeIndex),
		policies:     NewRegistry(s.policies...),
		teams:        map[string]*teamRecord{},
		jobs:         map[JobID]*jobRecord{},
		services:     map[serviceKey]*serviceRecord{},
		spread:       map[spreadKey]int{},
		fleetVersion: 1,
	}
	e.view = newView(e.fleet, e.spread, s)
	return e
}

// SetWorker adds or updates a worker.
func (e *Engine) SetWorker(w Worker) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.upsert(w)
	e.invalidateBlocked()
}

// invalidateBlocked makes Decide retry all blocked work.
func (e *Engine) invalidateBlocked() {
	e.fleetVersion++
	e.onlyFreed = false
}

// noteFreed makes Decide retry the blocked work that fits the worker.
func (e *Engine) noteFreed(w *worker) {
	e.fleetVersion++
	e.freed = append(e.freed, w)
}

// CordonWorker stops the placement of new tasks on a worker.
func (e *Engine) CordonWorker(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w, ok := e.fleet.byID[id]; ok {
		w.health.cordoned = true
		e.fleet.updateIndexes(w)
	}
}

// RemoveWorker removes a worker and releases its placements. The caller
// reports what becomes of their tasks with Requeue or RemoveJob.
func (e *Engine) RemoveWorker(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.fleet.remove(id)
	if w == nil {
		return
	}
	if reservedJob := e.jobs[w.reservedFor]; reservedJob != nil {
		e.unreserve(reservedJob)
	}
	for _, p := range w.placements {
		e.release(p, time.Time{})
	}
}

// SetTeam adds a team or updates its weight and limit.
func (e *Engine) SetTeam(t Team) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.team(t.Name)
	lowered := !record.Limit.FitsIn(t.Limit)
	e.invalidateBlocked()
	record.Team = t
	if lowered {
		e.checkTeamSchedulable(record)
	}
}

// checkTeamSchedulable rechecks the queued jobs of a team whose limit was
// lowered.
func (e *Engine) checkTeamSchedulable(team *teamRecord) {
	e.fleet.refresh()
	for _, q := range team.queues {
		for _, item := range q.items[q.head:] {
			if item != nil && !item.removed {
				e.checkSchedulable(item.job, team.share.updatedAt)
			}
		}
	}
}

// RemoveTeam sets a team's limit to zero.
func (e *Engine) RemoveTeam(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.team(name).Limit = quota.Resources{}
}

func (e *Engine) team(name string) *teamRecord {
	record := e.teams[name]
	if record == nil {
		record = newTeamRecord(Team{Name: name})
		e.teams[name] = record
	}
	return record
}

// Submit adds a job, unless it is already known, and queues its idle tasks.
func (e *Engine) Submit(j Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job := e.addJob(j)
	for task := range job.tasks {
		if job.tasks[task].stage == stageIdle {
			e.enqueue(job, task)
		}
	}
}

// RestoreJob adds a job without queueing its tasks. The caller reports the
// state of each task with ConfirmPlacement and Requeue.
func (e *Engine) RestoreJob(j Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addJob(j)
}

func (e *Engine) addJob(j Job) *jobRecord {
	if job, ok := e.jobs[j.ID]; ok {
		return job
	}
	job := &jobRecord{
		Job:   j,
		tasks: make([]taskRecord, j.Tasks),
	}
	for i := range job.tasks {
		job.tasks[i].stage = stageIdle
	}
	e.jobs[j.ID] = job
	e.fleet.refresh()
	e.checkSchedulable(job, j.Submitted)
	return job
}

func (e *Engine) enqueue(job *jobRecord, task int) {
	record := &job.tasks[task]
	record.stage = stageWaiting
	if job.Kind == KindGang {
		e.enqueueGang(job)
		return
	}
	record.item = &queueItem{
		job:   job,
		task:  task,
		since: job.Submitted,
	}
	e.team(job.Team).push(record.item)
}

// enqueueGang queues the gang once all its tasks are waiting.
func (e *Engine) enqueueGang(job *jobRecord) {
	for i := range job.tasks {
		if job.tasks[i].stage != stageWaiting {
			return
		}
	}
	if job.gangItem != nil && !job.gangItem.removed {
		return
	}
	job.gangItem = &queueItem{
		job:   job,
		since: job.Submitted,
	}
	e.team(job.Team).push(job.gangItem)
}

// Requeue queues a task again; its next attempt follows the given one.
// Unless it belongs to a gang, a task that has failed is delayed by an
// exponential backoff.
func (e *Engine) Requeue(id JobID, task int, attempt uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	e.releaseTask(record, now)
	record.attempt = attempt
	if record.stage == stageWaiting {
		return
	}
	if record.failures == 0 || job.Kind == KindGang {
		e.enqueue(job, task)
		return
	}
	record.stage = stageWaiting
	record.item = &queueItem{
		job:   job,
		task:  task,
		since: job.Submitted,
	}
	heap.Push(&e.delayed, delayedItem{
		item:  record.item,
		until: now.Add(e.backoff(job, task)),
	})
}

// backoff returns a delay that doubles with each failure, with jitter
// derived from the job and task numbers so that tasks that failed together
// are not retried together.
func (e *Engine) backoff(job *jobRecord, task int) time.Duration {
	wait := e.settings.backoff
	for i := 1; i < job.tasks[task].failures && wait < e.settings.maxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, e.settings.maxBackoff)
	jitter := (uint64(job.ID)*2654435761 + uint64(task)*40503) % 1000
	return wait/2 + wait*time.Duration(jitter)/2000
}

// ConfirmPlacement confirms a placement, or records one that the Engine did not
// decide.
func (e *Engine) ConfirmPlacement(id JobID, task int, attempt uint32, workerID string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	if record.placement != nil && record.attempt == attempt && record.placement.worker.ID == workerID {
		return
	}
	e.releaseTask(record, now)
	e.dequeue(job, task)
	record.attempt = attempt
	if w, ok := e.fleet.byID[workerID]; ok {
		e.assign(job, task, w, now)
	}
}

// RevertPlacements reverts placements that were rejected and queues their tasks
// again.
func (e *Engine) RevertPlacements(id JobID, placements []Placement, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	for _, placement := range placements {
		record := &job.tasks[placement.Task]
		// If the worker was removed in the meantime, the placement is
		// already released; the task still has to be queued again.
		if record.stage == stageWaiting || record.attempt != placement.Attempt {
			continue
		}
		e.releaseTask(record, now)
		record.attempt--
		if !job.dequeued {
			e.enqueue(job, placement.Task)
		}
	}
}

// Finished releases the resources of a task and learns from its result.
func (e *Engine) Finished(id JobID, task int, result Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	if record.placement != nil && result.Started {
		e.recordResult(job, record, result)
	}
	if result.Failed {
		record.failures++
	}
	e.releaseTask(record, result.EndedAt)
	record.stage = stageIdle
}

// RemoveJob removes a job, its queued tasks and its placements.
func (e *Engine) RemoveJob(id JobID, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	for task := range job.tasks {
		e.dequeue(job, task)
		e.releaseTask(&job.tasks[task], now)
	}
	e.unreserve(job)
	job.unschedulable = false
	delete(e.jobs, id)
}

// DequeueJob removes the queued tasks of a job; placed tasks stay.
func (e *Engine) DequeueJob(id JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	job.dequeued = true
	for task := range job.tasks {
		e.dequeue(job, task)
	}
	e.unreserve(job)
}

func (e *Engine) dequeue(job *jobRecord, task int) {
	record := &job.tasks[task]
	item := record.item
	if job.Kind == KindGang {
		item = job.gangItem
	}
	if item != nil {
		e.team(job.Team).remove(item)
	}
	if record.stage == stageWaiting {
		record.stage = stageIdle
	}
	record.item = nil
}

func (e *Engine) assign(job *jobRecord, task int, w *worker, now time.Time) {
	record := &job.tasks[task]
	record.stage = stagePlaced
	record.lastWorker = w.ID
	record.placement = &placement{
		key: taskKey{
			job:  job.ID,
			task: task,
		},
		attempt:     record.attempt,
		resources:   e.expectedOnWorker(job.Job, w),
		team:        job.Team,
		service:     job.Service,
		preemptible: e.isPreemptible(job, record),
	}
	e.fleet.assign(w, record.placement)
	e.addSpread(record.placement, 1)
	e.team(job.Team).addUsage(now, e.fleet.total, job.Resources)
}

// isPreemptible reports whether the job's current attempt at the task may be
// preempted.
func (e *Engine) isPreemptible(job *jobRecord, record *taskRecord) bool {
	return job.Preemptible && job.Idempotent && !job.Urgent &&
		record.preemptions < e.settings.maxPreemptionsPerTask
}

func (e *Engine) releaseTask(record *taskRecord, now time.Time) {
	if record.placement != nil {
		e.release(record.placement, now)
	}
}

// release frees the resources of the placement. A zero time, as from
// RemoveWorker, stands for the time of the team's last change of usage.
func (e *Engine) release(p *placement, now time.Time) {
	job := e.jobs[p.key.job]
	if job == nil || job.tasks[p.key.task].placement != p {
		return
	}
	e.fleet.release(p)
	e.noteFreed(p.worker)
	e.addSpread(p, -1)
	team := e.team(job.Team)
	if now.IsZero() {
		now = team.share.updatedAt
	}
	team.addUsage(now, e.fleet.total, quota.Resources{}.Sub(job.Resources))
	job.tasks[p.key.task].placement = nil
	job.tasks[p.key.task].stage = stageIdle
}

// spreadKey identifies the number of tasks of a service in a rack or failure
// domain.
type spreadKey struct {
	service    *serviceRecord
	topologyID int32
}

func (e *Engine) addSpread(p *placement, n int) {
	service := e.service(p.team, p.service)
	for _, topologyID := range []int32{p.worker.domainID, p.worker.rackID} {
		key := spreadKey{
			service:    service,
			topologyID: topologyID,
		}
		e.spread[key] += n
		if e.spread[key] == 0 {
			delete(e.spread, key)
		}
	}
}
