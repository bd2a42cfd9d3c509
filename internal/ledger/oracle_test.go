package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// The oracle knows a cell only as maps of what it was told. It decides by
// itself whether a placement is right, and compares.

// breakKind is a check of the ledger that is put out of action.
type breakKind int

const (
	breakNone breakKind = iota
	breakRoom
	breakLimit
	breakTwice
	breakAtMostOnce
	breakKey
	breakNotRun
	breakLeaving
	breakOutcome
	breakNote
)

type modelTask struct {
	attempt uint32
	// live is where an attempt may be running, "" for nowhere.
	live    string
	session string
	held    bool
	mayRun  bool
	done    bool
}

type modelJob struct {
	id         JobID
	team       string
	key        string
	service    string
	room       quota.Room
	idempotent bool
	gang       bool
	released   bool
	ending     bool
	tasks      []*modelTask
	outcome    Outcome
}

type modelTarget struct {
	session  string
	capacity quota.Room
	slots    int
	leaving  bool
}

type oracle struct {
	random   *rand.Rand
	broken   breakKind
	ledger   *Ledger
	now      Millis
	jobs     []*modelJob
	requests map[string]string
	ids      []string
	targets  map[string]*modelTarget
	limits   map[string]quota.Room
	keys     map[string]string
	services map[string]note.Service
	// owners holds the team of each key that ever was.
	owners   map[string]string
	number   uint64
	sessions int
	submits  int
}

func newOracle(seed uint64, broken breakKind) *oracle {
	o := &oracle{
		random:   rand.New(rand.NewPCG(seed, 7)),
		broken:   broken,
		ledger:   New(DefaultBounds()),
		now:      1_800_000_000_000,
		requests: map[string]string{},
		targets:  map[string]*modelTarget{},
		limits:   map[string]quota.Room{},
		keys:     map[string]string{},
		services: map[string]note.Service{},
		owners:   map[string]string{},
	}
	o.firstNote()
	return o
}

// firstNote gives each of three teams a key and a service of each kind, so
// that a case has work from its first step on.
func (o *oracle) firstNote() {
	n := note.Note{Number: 1}
	kinds := []note.Kind{note.KindService, note.KindBatch, note.KindGang}
	for i, kind := range kinds {
		team := fmt.Sprintf("team-%d", i)
		limit := quota.Room{
			CPU:    quota.MilliCPU(4+o.pick(8)) * 1000,
			Memory: 1 << 20,
		}
		service := note.Service{
			Name: fmt.Sprintf("service-%d", i),
			Team: team,
			Kind: kind,
		}
		key := &note.Key{
			ID:     fmt.Sprintf("key-%d", i),
			Team:   team,
			Digest: fmt.Sprintf("%064d", 0),
		}
		n.Changes = append(n.Changes, note.Change{
			Op: note.OpAdd,
			Team: &note.Team{
				Name:  team,
				Limit: limit,
			},
		}, note.Change{
			Op:      note.OpAdd,
			Service: &service,
		}, note.Change{
			Op:  note.OpAdd,
			Key: key,
		})
		o.limits[team] = limit
		o.services[service.Name] = service
		o.keys[key.ID] = team
		o.owners[key.ID] = team
	}
	o.applyNote(n)
}

func (o *oracle) apply(c Command) any {
	c.Time = o.now
	data, err := c.Encode()
	if err != nil {
		return err
	}
	decoded, err := DecodeCommand(data)
	if err != nil {
		return err
	}
	if c.Note == nil || o.broken == breakNote {
		o.sabotage()
	}
	return o.ledger.Apply(decoded)
}

// sabotage changes the ledger's state so that one check sees nothing wrong.
func (o *oracle) sabotage() {
	l := o.ledger
	switch o.broken {
	case breakRoom:
		for _, t := range l.Targets() {
			next := t.edit()
			next.Capacity = quota.Room{
				CPU:    1 << 30,
				Memory: 1 << 30,
			}
			next.Slots = 100
			l.targets.Set(t.ID, next)
		}
	case breakLimit:
		state := cloneState(l.config.Load())
		for name, team := range state.Teams {
			team.Limit = quota.Room{
				CPU:    1 << 30,
				Memory: 1 << 30,
			}
			state.Teams[name] = team
		}
		l.config.Store(state)
	case breakKey:
		state := cloneState(l.config.Load())
		for id, team := range o.owners {
			state.Keys[id] = note.Key{
				ID:   id,
				Team: team,
			}
		}
		l.config.Store(state)
	case breakLeaving:
		for _, t := range l.Targets() {
			next := t.edit()
			next.Leaving = false
			l.targets.Set(t.ID, next)
		}
	case breakTwice, breakAtMostOnce, breakNotRun:
		o.sabotageJobs()
	case breakOutcome:
		o.reopen()
	}
}

// reopen has the ledger go on with jobs that are over.
func (o *oracle) reopen() {
	for _, j := range o.jobs {
		job, ok := o.ledger.Job(j.id)
		if !ok || !job.Over() {
			continue
		}
		next := job.edit()
		next.Outcome = ""
		next.Ending = ReasonNone
		for i := range next.Tasks {
			next.Tasks[i].State = TaskQueued
		}
		o.ledger.live[j.id] = next
		o.ledger.jobs.Set(j.id, next)
	}
}

func (o *oracle) sabotageJobs() {
	for id, job := range o.ledger.live {
		next := job.edit()
		for i := range next.Tasks {
			task := &next.Tasks[i]
			switch {
			case o.broken == breakTwice && task.State == TaskRunning:
				task.State = TaskQueued
			case o.broken == breakNotRun:
				task.Started = false
				task.MayHaveRun = false
			case o.broken == breakAtMostOnce:
				next.Spec.Idempotent = true
			}
		}
		o.ledger.live[id] = next
		o.ledger.jobs.Set(id, next)
	}
}

func (o *oracle) pick(n int) int {
	return o.random.IntN(n)
}

func (o *oracle) step() error {
	o.now += Millis(o.pick(200))
	switch what := o.pick(100); {
	case what < 6:
		return o.changeNote()
	case what < 14:
		return o.announce()
	case what < 17:
		return o.leave()
	case what < 22:
		return o.endSession()
	case what < 42:
		return o.submit()
	case what < 67:
		return o.place()
	case what < 90:
		return o.report()
	case what < 95:
		return o.cancel()
	case what < 97:
		return o.stopSome()
	}
	return o.repeatSubmit()
}

func (o *oracle) changeNote() error {
	n := note.Note{Number: o.number + 1}
	team := fmt.Sprintf("team-%d", o.pick(3))
	limit := quota.Room{
		CPU:    quota.MilliCPU(o.pick(12)) * 1000,
		Memory: 1 << 20,
	}
	key := fmt.Sprintf("key-%d", o.pick(3))
	service := note.Service{
		Name:        fmt.Sprintf("service-%d", o.pick(4)),
		Kind:        []note.Kind{note.KindService, note.KindBatch, note.KindGang}[o.pick(3)],
		Preemptible: o.pick(2) == 0,
	}
	_, hasTeam := o.limits[team]
	_, hasKey := o.keys[key]
	known, hasService := o.services[service.Name]
	switch o.pick(4) {
	case 0:
		n.Changes = []note.Change{{
			Op: opFor(hasTeam),
			Team: &note.Team{
				Name:  team,
				Limit: limit,
			},
		}}
		if o.applyNote(n) {
			o.limits[team] = limit
		}
	case 1:
		if hasKey {
			n.Changes = []note.Change{{
				Op:  note.OpWithdraw,
				Key: &note.Key{ID: key},
			}}
			if o.applyNote(n) {
				delete(o.keys, key)
				o.endAll(func(j *modelJob) bool { return j.key == key })
			}
			break
		}
		n.Changes = []note.Change{{
			Op: note.OpAdd,
			Key: &note.Key{
				ID:     key,
				Team:   team,
				Digest: fmt.Sprintf("%064d", 0),
			},
		}}
		if o.applyNote(n) {
			o.keys[key] = team
			o.owners[key] = team
		}
	case 2:
		service.Team = team
		if hasService {
			service.Team = known.Team
			service.Kind = known.Kind
		}
		n.Changes = []note.Change{{
			Op:      opFor(hasService),
			Service: &service,
		}}
		if o.applyNote(n) {
			o.services[service.Name] = service
		}
	default:
		return o.staleNote()
	}
	return nil
}

func opFor(exists bool) note.Op {
	if exists {
		return note.OpChange
	}
	return note.OpAdd
}

func (o *oracle) applyNote(n note.Note) bool {
	result, ok := o.apply(Command{Note: &n}).(NoteResult)
	if !ok || result.Err != nil {
		return false
	}
	o.number++
	return true
}

// staleNote applies another note under a number that is taken, which must
// change nothing.
func (o *oracle) staleNote() error {
	if o.number == 0 {
		return nil
	}
	if o.broken == breakNote {
		state := cloneState(o.ledger.config.Load())
		state.Number--
		o.ledger.config.Store(state)
	}
	n := note.Note{
		Number: o.number,
		Changes: []note.Change{{
			Op:   note.OpAdd,
			Team: &note.Team{Name: fmt.Sprintf("rival-%d", o.pick(1000000))},
		}},
	}
	if result, ok := o.apply(Command{Note: &n}).(NoteResult); ok && result.Err == nil {
		return fmt.Errorf("note %d was replaced by another of its number", o.number)
	}
	return nil
}

// endAll does to the model what a withdrawal does: what has not started
// never starts.
func (o *oracle) endAll(match func(*modelJob) bool) {
	for _, j := range o.jobs {
		if match(j) {
			j.ending = true
		}
	}
}

func (o *oracle) announce() error {
	id := fmt.Sprintf("worker-%d", o.pick(4))
	o.sessions++
	session := fmt.Sprintf("session-%d", o.sessions)
	capacity := quota.Room{
		CPU:    quota.MilliCPU(1+o.pick(8)) * 1000,
		Memory: 4096,
	}
	result, _ := o.apply(Command{Announce: &Announce{
		Target:   id,
		Session:  session,
		Capacity: capacity,
		Slots:    1 + o.pick(4),
	}}).(AnnounceResult)
	_, live := o.targets[id]
	if live != (result.Refusal == RefusedLive) {
		return fmt.Errorf("announce of %s, live %t, got %q", id, live, result.Refusal)
	}
	if live {
		return nil
	}
	stored, _ := o.ledger.Target(id)
	o.targets[id] = &modelTarget{
		session:  session,
		capacity: capacity,
		slots:    stored.Slots,
	}
	return nil
}

func (o *oracle) leave() error {
	id := fmt.Sprintf("worker-%d", o.pick(4))
	if t, ok := o.targets[id]; ok {
		o.apply(Command{Leave: &Leave{
			Target:  id,
			Session: t.session,
		}})
		t.leaving = true
	}
	return nil
}

func (o *oracle) endSession() error {
	id := fmt.Sprintf("worker-%d", o.pick(4))
	t, ok := o.targets[id]
	if !ok {
		return nil
	}
	o.apply(Command{Session: &EndSession{
		Target:  id,
		Session: t.session,
	}})
	delete(o.targets, id)
	for _, j := range o.jobs {
		for _, task := range j.tasks {
			if task.live != id {
				continue
			}
			if !task.held || j.released {
				task.mayRun = true
			}
			task.live = ""
			task.held = false
			if task.mayRun && !j.idempotent {
				task.done = true
			}
		}
	}
	return o.checkOutcomes()
}

func (o *oracle) submit() error {
	names := len(o.services)
	if names == 0 {
		return nil
	}
	name := fmt.Sprintf("service-%d", o.pick(4))
	key := fmt.Sprintf("key-%d", o.pick(3))
	service, known := o.services[name]
	_, hasKey := o.keys[key]
	team := o.owners[key]
	o.submits++
	id := uuidAt(o.now, o.submits)
	spec := Spec{
		Service: name,
		Count:   1 + o.pick(3),
		Room: quota.Room{
			CPU:    quota.MilliCPU(1+o.pick(4)) * 500,
			Memory: 64,
		},
		Idempotent: o.pick(2) == 0,
	}
	result, _ := o.apply(Command{Submit: &Submit{
		Request: RequestKey{
			Scope: TeamScope(team),
			ID:    id,
		},
		Digest: "d" + id,
		KeyID:  key,
		Spec:   spec,
	}}).(SubmitResult)
	right := known && hasKey && service.Team == team
	if right != (result.Refusal == "") {
		return fmt.Errorf("submit to %s with %s of %s: right %t, got %q", name, key, team, right, result.Refusal)
	}
	if !right {
		return nil
	}
	j := &modelJob{
		id:         result.Job,
		team:       team,
		key:        key,
		service:    name,
		room:       spec.Room,
		idempotent: spec.Idempotent,
		gang:       service.Kind == note.KindGang,
	}
	for range spec.Count {
		j.tasks = append(j.tasks, &modelTask{})
	}
	o.jobs = append(o.jobs, j)
	o.ids = append(o.ids, id)
	o.requests[id] = string(TeamScope(team))
	return nil
}

// uuidAt returns a version 7 UUID of the time, made from a counter.
func uuidAt(now Millis, counter int) string {
	var id uuid.UUID
	for i := range 6 {
		id[5-i] = byte(now >> (8 * i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 4 {
		id[15-i] = byte(counter >> (8 * i))
	}
	return id.String()
}

func (o *oracle) repeatSubmit() error {
	if len(o.ids) == 0 {
		return nil
	}
	i := o.pick(len(o.ids))
	id := o.ids[i]
	result, _ := o.apply(Command{Submit: &Submit{
		Request: RequestKey{
			Scope: Scope(o.requests[id]),
			ID:    id,
		},
		Digest: "d" + id,
	}}).(SubmitResult)
	if !result.Again || result.Job != o.jobs[i].id {
		return fmt.Errorf("repeated request %s became job %d, was %d (%q)", id, result.Job, o.jobs[i].id, result.Refusal)
	}
	return nil
}

func (o *oracle) job() *modelJob {
	if len(o.jobs) == 0 {
		return nil
	}
	from := max(len(o.jobs)-12, 0)
	return o.jobs[from+o.pick(len(o.jobs)-from)]
}

// place proposes a placement, right or wrong, and decides by itself.
func (o *oracle) place() error {
	j := o.job()
	if j == nil {
		return nil
	}
	group := Group{Job: j.id}
	for i, task := range j.tasks {
		id := fmt.Sprintf("worker-%d", o.pick(4))
		session := "none"
		if t, ok := o.targets[id]; ok {
			session = t.session
		}
		group.Spots = append(group.Spots, Spot{
			Task:    i,
			Attempt: task.attempt + 1,
			Target:  id,
			Session: session,
		})
		if !j.gang {
			group.Spots[0] = group.Spots[len(group.Spots)-1]
			group.Spots = group.Spots[:1]
			if o.pick(2) == 0 {
				break
			}
		}
	}
	right := true
	taken := []Spot{}
	for _, spot := range group.Spots {
		right = right && o.mayPlace(j, spot, taken)
		taken = append(taken, spot)
	}
	result, _ := o.apply(Command{Place: &Place{Groups: []Group{group}}}).(PlaceResult)
	accepted := true
	for _, refusal := range result.Groups[0] {
		accepted = accepted && refusal == ""
	}
	if right != accepted {
		return fmt.Errorf("placement of job %d %+v: right %t, got %v", j.id, group.Spots, right, result.Groups[0])
	}
	if !accepted {
		return nil
	}
	for _, spot := range group.Spots {
		task := j.tasks[spot.Task]
		task.attempt = spot.Attempt
		task.live = spot.Target
		task.session = spot.Session
	}
	j.released = false
	return nil
}

func (o *oracle) mayPlace(j *modelJob, spot Spot, taken []Spot) bool {
	t, ok := o.targets[spot.Target]
	task := j.tasks[spot.Task]
	if !ok || t.session != spot.Session || t.leaving || j.ending || task.done || task.live != "" {
		return false
	}
	if _, ok := o.keys[j.key]; !ok {
		return false
	}
	if task.mayRun && !j.idempotent {
		return false
	}
	used, team := j.room, j.room
	slots := 1
	for _, other := range o.jobs {
		for _, t := range other.tasks {
			if t.live == spot.Target {
				used = used.Add(other.room)
				slots++
			}
			if t.live != "" && other.team == j.team {
				team = team.Add(other.room)
			}
		}
	}
	for _, s := range taken {
		team = team.Add(j.room)
		if s.Target == spot.Target {
			used = used.Add(j.room)
			slots++
		}
	}
	return used.Fits(t.capacity) && slots <= t.slots && team.Fits(o.limits[j.team])
}

// report says something of an attempt, now and then of an old one.
func (o *oracle) report() error {
	j := o.job()
	if j == nil {
		return nil
	}
	i := o.pick(len(j.tasks))
	task := j.tasks[i]
	number := task.attempt
	if o.pick(10) == 0 && number > 0 {
		number--
	}
	kinds := []EventKind{EventStarted, EventStarted, EventHeld, EventFinished, EventStopped, EventFenced}
	event := Event{
		Attempt: Attempt{
			Job:    j.id,
			Task:   i,
			Number: number,
		},
		Kind: kinds[o.pick(len(kinds))],
		// The SHA-256 of nothing.
		Checksum: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		ExitCode: o.pick(2),
	}
	before, _ := o.ledger.Job(j.id)
	state := before.Tasks[i].State
	o.apply(Command{Report: &Report{
		Target:  task.live,
		Session: task.session,
		Events:  []Event{event},
	}})
	if task.live == "" || number != task.attempt {
		return o.checkOutcomes()
	}
	o.heard(j, task, event, state)
	return o.checkOutcomes()
}

// heard changes the model by an event of the current attempt.
func (o *oracle) heard(j *modelJob, task *modelTask, event Event, state TaskState) {
	after, _ := o.ledger.Job(j.id)
	switch event.Kind {
	case EventHeld:
		if j.gang && state == TaskPlaced {
			task.held = true
			j.released = after.Released
		}
		return
	case EventStarted:
		if !j.gang || (task.held && j.released) {
			task.mayRun = true
			task.held = false
		}
		return
	case EventFenced:
		if state == TaskRunning {
			return
		}
	case EventFinished, EventStopped:
		task.mayRun = true
		if event.ExitCode == 0 && event.Kind == EventFinished {
			task.done = true
		}
		if !j.idempotent {
			task.done = true
		}
	}
	task.live = ""
	task.held = false
}

func (o *oracle) cancel() error {
	if len(o.ids) == 0 {
		return nil
	}
	i := o.pick(len(o.ids))
	o.apply(Command{Cancel: &Cancel{Request: RequestKey{
		Scope: Scope(o.requests[o.ids[i]]),
		ID:    o.ids[i],
	}}})
	o.jobs[i].ending = true
	return o.checkOutcomes()
}

func (o *oracle) stopSome() error {
	j := o.job()
	if j == nil {
		return nil
	}
	o.apply(Command{Stop: &Stop{
		Reason: ReasonPreempted,
		Attempts: []Attempt{{
			Job:    j.id,
			Number: j.tasks[0].attempt,
		}},
	}})
	return nil
}

// checkOutcomes sees that an answer never changes, that "not-run" is only
// said of work that did not run, and that no answer comes while an attempt
// may still be running.
func (o *oracle) checkOutcomes() error {
	for _, j := range o.jobs {
		job, ok := o.ledger.Job(j.id)
		if !ok {
			return fmt.Errorf("job %d is gone", j.id)
		}
		if j.outcome != "" && job.Outcome != j.outcome {
			return fmt.Errorf("job %d was %s and is %q", j.id, j.outcome, job.Outcome)
		}
		j.outcome = job.Outcome
		if job.Ending != ReasonNone {
			j.ending = true
		}
		for i, task := range j.tasks {
			if job.Over() && task.live != "" {
				return fmt.Errorf("job %d is %s while task %d may run on %s", j.id, job.Outcome, i, task.live)
			}
			if job.Tasks[i].State.Final() {
				task.done = true
			}
			if job.Tasks[i].State == TaskNotRun && task.mayRun {
				return fmt.Errorf("job %d task %d is not-run, but may have run", j.id, i)
			}
		}
	}
	return nil
}

func runOracle(seed uint64, broken breakKind, steps int) error {
	o := newOracle(seed, broken)
	for i := range steps {
		if err := o.step(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if i%50 == 49 {
			if err := o.reload(); err != nil {
				return err
			}
		}
	}
	return nil
}

// reload goes on from a snapshot, as a restarted replica does.
func (o *oracle) reload() error {
	data, err := o.ledger.Capture()()
	if err != nil {
		return err
	}
	fresh := New(DefaultBounds())
	if err := fresh.Restore(data); err != nil {
		return err
	}
	o.ledger = fresh
	o.now += Millis(time.Second / time.Millisecond)
	return nil
}

func cloneState(s *note.State) *note.State {
	next := *s
	next.Teams = maps.Clone(s.Teams)
	next.Keys = maps.Clone(s.Keys)
	return &next
}
