package sched

import (
	"container/heap"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// taskStage is where a task stands for the Engine.
type taskStage uint8

const (
	stageIdle taskStage = iota + 1
	stageWaiting
	stagePlaced
)

type taskRecord struct {
	stage     taskStage
	attempt   uint32
	item      *item
	run       *running
	last      string
	preempted int
	failures  int
}

type jobRecord struct {
	Job
	tasks []taskRecord
	// gang is the one item of a gang.
	gang *item
	// reserved are the workers kept for the job.
	reserved []*worker
	reserve  time.Time
	// withdrawn jobs have nothing that waits any more.
	withdrawn bool
	// doubtful jobs fit nowhere since the time.
	doubtful   bool
	doubtSince time.Time
}

// Engine decides. All methods may be called by several goroutines.
type Engine struct {
	mu       sync.Mutex
	settings settings
	fleet    *fleet
	view     *View
	policies *Registry[Policy[*Job]]
	teams    map[string]*teamRecord
	jobs     map[JobID]*jobRecord
	services map[serviceKey]*serviceRecord
	spread   map[spreadKey]int
	delayed  delayed
	doubtful []*jobRecord
	sick     []*worker
	holders  []*jobRecord
	round    []*teamRecord
	// version counts what may let blocked work fit; freed lists the workers
	// that gave room back since the last Decide, and onlyFreed tells that
	// nothing else happened.
	version   uint64
	freed     []*worker
	onlyFreed bool
	ageAt     time.Time
	out       []Decision
}

var _ Decider = (*Engine)(nil)

// NewEngine returns an Engine that knows of nothing yet.
func NewEngine(opts ...Option) *Engine {
	s := defaultSettings()
	for _, opt := range opts {
		opt(&s)
	}
	e := &Engine{
		settings: s,
		fleet:    newFleet(s.makeTree),
		policies: NewRegistry(s.policies...),
		teams:    map[string]*teamRecord{},
		jobs:     map[JobID]*jobRecord{},
		services: map[serviceKey]*serviceRecord{},
		spread:   map[spreadKey]int{},
		version:  1,
	}
	e.view = newView(e.fleet, e.spread, s)
	return e
}

// SetWorker adds a worker, or changes one.
func (e *Engine) SetWorker(w Worker) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.set(w)
	e.changed()
}

// changed has everything that was blocked tried again.
func (e *Engine) changed() {
	e.version++
	e.onlyFreed = false
}

// gaveBack has what fits the worker tried again.
func (e *Engine) gaveBack(w *worker) {
	e.version++
	e.freed = append(e.freed, w)
}

// CloseWorker has a worker get no new work.
func (e *Engine) CloseWorker(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w, ok := e.fleet.byID[id]; ok {
		w.health.leaving = true
		e.fleet.update(w)
	}
}

// RemoveWorker forgets a worker. What ran there is freed; the caller tells
// by Requeue or Drop what becomes of it.
func (e *Engine) RemoveWorker(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.fleet.remove(id)
	if w == nil {
		return
	}
	if holder := e.jobs[w.reservedFor]; holder != nil {
		e.unreserve(holder)
	}
	for _, r := range w.running {
		e.free(r, time.Time{})
	}
}

// SetTeam adds a team, or changes its weight and limit.
func (e *Engine) SetTeam(t Team) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.team(t.Name)
	lowered := !record.Limit.Fits(t.Limit)
	e.changed()
	record.Team = t
	if lowered {
		e.doubtAll(record)
	}
}

// doubtAll looks again at all that waits of a team whose limit was lowered.
func (e *Engine) doubtAll(team *teamRecord) {
	e.fleet.refresh()
	for _, q := range team.shapes {
		for _, it := range q.items[q.head:] {
			if it != nil && !it.gone {
				e.doubt(it.job, team.share.at)
			}
		}
	}
}

// RemoveTeam sets a team's limit to nothing.
func (e *Engine) RemoveTeam(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.team(name).Limit = quota.Room{}
}

func (e *Engine) team(name string) *teamRecord {
	record := e.teams[name]
	if record == nil {
		record = newTeamRecord(Team{Name: name})
		e.teams[name] = record
	}
	return record
}

// Submit adds a job whose tasks all wait. A job that is known already is
// left as it is.
func (e *Engine) Submit(j Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job := e.adopt(j)
	for task := range job.tasks {
		if job.tasks[task].stage == stageIdle {
			e.enqueue(job, task)
		}
	}
}

// Adopt adds a job without having its tasks wait: the caller tells by Placed
// and Requeue where each one stands.
func (e *Engine) Adopt(j Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(j)
}

func (e *Engine) adopt(j Job) *jobRecord {
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
	e.doubt(job, j.Submitted)
	return job
}

func (e *Engine) enqueue(job *jobRecord, task int) {
	record := &job.tasks[task]
	record.stage = stageWaiting
	if job.Kind == KindGang {
		e.enqueueGang(job)
		return
	}
	record.item = &item{
		job:   job,
		task:  task,
		since: job.Submitted,
	}
	e.team(job.Team).push(record.item)
}

// enqueueGang has the gang wait once all its tasks do.
func (e *Engine) enqueueGang(job *jobRecord) {
	for i := range job.tasks {
		if job.tasks[i].stage != stageWaiting {
			return
		}
	}
	if job.gang != nil && !job.gang.gone {
		return
	}
	job.gang = &item{
		job:   job,
		since: job.Submitted,
	}
	e.team(job.Team).push(job.gang)
}

// Requeue has a task wait again for the attempt after the given one. After a
// failure the wait is delayed, by more each time.
func (e *Engine) Requeue(id JobID, task int, attempt uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	e.freeTask(record, now)
	record.attempt = attempt
	if record.stage == stageWaiting {
		return
	}
	if record.failures == 0 || job.Kind == KindGang {
		e.enqueue(job, task)
		return
	}
	record.stage = stageWaiting
	record.item = &item{
		job:   job,
		task:  task,
		since: job.Submitted,
	}
	heap.Push(&e.delayed, delayedItem{
		it:    record.item,
		until: now.Add(e.backoff(job, task)),
	})
}

// backoff doubles with each failure and is spread by the job's number, so
// that tasks which failed together do not come back together.
func (e *Engine) backoff(job *jobRecord, task int) time.Duration {
	wait := e.settings.backoff
	for i := 1; i < job.tasks[task].failures && wait < e.settings.maxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, e.settings.maxBackoff)
	spread := (uint64(job.ID)*2654435761 + uint64(task)*40503) % 1000
	return wait/2 + wait*time.Duration(spread)/2000
}

// Placed confirms a placement, or tells of one that the Engine did not make.
func (e *Engine) Placed(id JobID, task int, attempt uint32, workerID string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	if record.run != nil && record.attempt == attempt && record.run.worker.ID == workerID {
		return
	}
	e.freeTask(record, now)
	e.unqueue(job, task)
	record.attempt = attempt
	if w, ok := e.fleet.byID[workerID]; ok {
		e.put(job, task, w, now)
	}
}

// Refused takes back placements that were not accepted; the tasks wait again.
func (e *Engine) Refused(id JobID, spots []Spot, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	for _, spot := range spots {
		record := &job.tasks[spot.Task]
		// The worker may have gone meanwhile, and taken the placement with
		// it: the task waits all the same.
		if record.stage == stageWaiting || record.attempt != spot.Attempt {
			continue
		}
		e.freeTask(record, now)
		record.attempt--
		if !job.withdrawn {
			e.enqueue(job, spot.Task)
		}
	}
}

// Finished frees what the task took and learns from the result.
func (e *Engine) Finished(id JobID, task int, result Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	record := &job.tasks[task]
	if record.run != nil && result.Started {
		e.learn(job, record, result)
	}
	if result.Failed {
		record.failures++
	}
	e.freeTask(record, result.Now)
	record.stage = stageIdle
}

// Drop forgets a job: what waits is taken out of its queue.
func (e *Engine) Drop(id JobID, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	for task := range job.tasks {
		e.unqueue(job, task)
		e.freeTask(&job.tasks[task], now)
	}
	e.unreserve(job)
	job.doubtful = false
	delete(e.jobs, id)
}

// Withdraw takes what waits of a job out of its queue; what is placed stays.
func (e *Engine) Withdraw(id JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job, ok := e.jobs[id]
	if !ok {
		return
	}
	job.withdrawn = true
	for task := range job.tasks {
		e.unqueue(job, task)
	}
	e.unreserve(job)
}

func (e *Engine) unqueue(job *jobRecord, task int) {
	record := &job.tasks[task]
	it := record.item
	if job.Kind == KindGang {
		it = job.gang
	}
	if it != nil {
		e.team(job.Team).drop(it)
	}
	if record.stage == stageWaiting {
		record.stage = stageIdle
	}
	record.item = nil
}

func (e *Engine) put(job *jobRecord, task int, w *worker, now time.Time) {
	record := &job.tasks[task]
	record.stage = stagePlaced
	record.last = w.ID
	record.run = &running{
		key: taskKey{
			job:  job.ID,
			task: task,
		},
		attempt: record.attempt,
		room:    e.expected(job.Job, w),
		team:    job.Team,
		service: job.Service,
		victim:  e.mayPreempt(job, record),
	}
	e.fleet.put(w, record.run)
	e.countSpread(record.run, 1)
	e.team(job.Team).use(now, e.fleet.total, job.Room)
}

func (e *Engine) mayPreempt(job *jobRecord, record *taskRecord) bool {
	return job.Preemptible && job.Idempotent && !job.Urgent &&
		record.preempted < e.settings.maxPreempted
}

func (e *Engine) freeTask(record *taskRecord, now time.Time) {
	if record.run != nil {
		e.free(record.run, now)
	}
}

func (e *Engine) free(r *running, now time.Time) {
	job := e.jobs[r.key.job]
	if job == nil || job.tasks[r.key.task].run != r {
		return
	}
	e.fleet.take(r)
	e.gaveBack(r.worker)
	e.countSpread(r, -1)
	team := e.team(job.Team)
	if now.IsZero() {
		now = team.share.at
	}
	team.use(now, e.fleet.total, quota.Room{}.Sub(job.Room))
	job.tasks[r.key.task].run = nil
	job.tasks[r.key.task].stage = stageIdle
}

// spreadKey counts the tasks of a service in a rack or failure domain.
type spreadKey struct {
	service *serviceRecord
	area    int32
}

func (e *Engine) countSpread(r *running, n int) {
	service := e.service(r.team, r.service)
	for _, area := range []int32{r.worker.domainArea, r.worker.rackArea} {
		key := spreadKey{
			service: service,
			area:    area,
		}
		e.spread[key] += n
		if e.spread[key] == 0 {
			delete(e.spread, key)
		}
	}
}
