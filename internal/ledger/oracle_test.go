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

// disabledCheck is a check of the ledger that the oracle bypasses.
type disabledCheck int

const (
	disableNone disabledCheck = iota
	disableCapacity
	disableTeamLimit
	disableSingleAttempt
	disableAtMostOnce
	disableKey
	disableNotRun
	disableLeaving
	disableFinalOutcome
	disableNoteOrder
)

type modelTask struct {
	attempt uint32
	// target is where an attempt may be running, "" for nowhere.
	target     string
	session    string
	held       bool
	mayHaveRun bool
	done       bool
}

type modelJob struct {
	id         JobID
	team       string
	key        string
	service    string
	resources  quota.Resources
	idempotent bool
	gang       bool
	released   bool
	ending     bool
	tasks      []*modelTask
	outcome    Outcome
}

type modelTarget struct {
	session  string
	capacity quota.Resources
	slots    int
	leaving  bool
}

// oracle generates random commands for a ledger and keeps a simple model of the
// expected state, made of plain maps. It decides independently of the ledger
// whether each command is valid, and compares the decisions.
type oracle struct {
	random        *rand.Rand
	disabled      disabledCheck
	ledger        *Ledger
	now           Millis
	jobs          []*modelJob
	requestScopes map[string]string
	requestIDs    []string
	targets       map[string]*modelTarget
	limits        map[string]quota.Resources
	keys          map[string]string
	services      map[string]note.Service
	// keyTeams holds the team of every key that ever existed.
	keyTeams   map[string]string
	noteNumber uint64
	sessions   int
	submits    int
}

func newOracle(seed uint64, disabled disabledCheck) *oracle {
	o := &oracle{
		random:        rand.New(rand.NewPCG(seed, 7)),
		disabled:      disabled,
		ledger:        New(DefaultLimits()),
		now:           1_800_000_000_000,
		requestScopes: map[string]string{},
		targets:       map[string]*modelTarget{},
		limits:        map[string]quota.Resources{},
		keys:          map[string]string{},
		services:      map[string]note.Service{},
		keyTeams:      map[string]string{},
	}
	o.applyFirstNote()
	return o
}

// applyFirstNote configures three teams, each with a key and a service of a
// different kind, so that jobs can be submitted from the first step on.
func (o *oracle) applyFirstNote() {
	n := note.Note{Number: 1}
	kinds := []note.Kind{note.KindService, note.KindBatch, note.KindGang}
	for i, kind := range kinds {
		team := fmt.Sprintf("team-%d", i)
		limit := quota.Resources{
			CPU:    quota.MilliCPU(4+o.intN(8)) * 1000,
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
		o.keyTeams[key.ID] = team
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
	if c.Note == nil || o.disabled == disableNoteOrder {
		o.bypassCheck()
	}
	return o.ledger.Apply(decoded)
}

// bypassCheck modifies the ledger's state so that the disabled check always
// passes.
func (o *oracle) bypassCheck() {
	l := o.ledger
	switch o.disabled {
	case disableCapacity:
		for _, t := range l.Targets() {
			next := t.clone()
			next.Capacity = quota.Resources{
				CPU:    1 << 30,
				Memory: 1 << 30,
			}
			next.Slots = 100
			l.targets.Set(t.ID, next)
		}
	case disableTeamLimit:
		state := cloneState(l.config.Load())
		for name, team := range state.Teams {
			team.Limit = quota.Resources{
				CPU:    1 << 30,
				Memory: 1 << 30,
			}
			state.Teams[name] = team
		}
		l.config.Store(state)
	case disableKey:
		state := cloneState(l.config.Load())
		for id, team := range o.keyTeams {
			state.Keys[id] = note.Key{
				ID:   id,
				Team: team,
			}
		}
		l.config.Store(state)
	case disableLeaving:
		for _, t := range l.Targets() {
			next := t.clone()
			next.Leaving = false
			l.targets.Set(t.ID, next)
		}
	case disableSingleAttempt, disableAtMostOnce, disableNotRun:
		o.bypassJobChecks()
	case disableFinalOutcome:
		o.reopenFinishedJobs()
	}
}

// reopenFinishedJobs makes finished jobs active again.
func (o *oracle) reopenFinishedJobs() {
	for _, j := range o.jobs {
		job, ok := o.ledger.Job(j.id)
		if !ok || !job.IsFinished() {
			continue
		}
		next := job.clone()
		next.Outcome = ""
		next.EndReason = ReasonNone
		for i := range next.Tasks {
			next.Tasks[i].State = TaskQueued
		}
		o.ledger.live[j.id] = next
		o.ledger.jobs.Set(j.id, next)
	}
}

func (o *oracle) bypassJobChecks() {
	for id, job := range o.ledger.live {
		next := job.clone()
		for i := range next.Tasks {
			task := &next.Tasks[i]
			switch {
			case o.disabled == disableSingleAttempt && task.State == TaskRunning:
				task.State = TaskQueued
			case o.disabled == disableNotRun:
				task.Started = false
				task.MayHaveRun = false
			case o.disabled == disableAtMostOnce:
				next.Spec.Idempotent = true
			}
		}
		o.ledger.live[id] = next
		o.ledger.jobs.Set(id, next)
	}
}

func (o *oracle) intN(n int) int {
	return o.random.IntN(n)
}

func (o *oracle) step() error {
	o.now += Millis(o.intN(200))
	switch action := o.intN(100); {
	case action < 6:
		return o.changeConfig()
	case action < 14:
		return o.announce()
	case action < 17:
		return o.leave()
	case action < 22:
		return o.endSession()
	case action < 42:
		return o.submit()
	case action < 67:
		return o.place()
	case action < 90:
		return o.report()
	case action < 95:
		return o.cancel()
	case action < 97:
		return o.preemptTask()
	}
	return o.repeatSubmit()
}

func (o *oracle) changeConfig() error {
	n := note.Note{Number: o.noteNumber + 1}
	team := fmt.Sprintf("team-%d", o.intN(3))
	limit := quota.Resources{
		CPU:    quota.MilliCPU(o.intN(12)) * 1000,
		Memory: 1 << 20,
	}
	key := fmt.Sprintf("key-%d", o.intN(3))
	service := note.Service{
		Name:        fmt.Sprintf("service-%d", o.intN(4)),
		Kind:        []note.Kind{note.KindService, note.KindBatch, note.KindGang}[o.intN(3)],
		Preemptible: o.intN(2) == 0,
	}
	_, hasTeam := o.limits[team]
	_, hasKey := o.keys[key]
	existing, hasService := o.services[service.Name]
	switch o.intN(4) {
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
				o.endJobs(func(j *modelJob) bool { return j.key == key })
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
			o.keyTeams[key] = team
		}
	case 2:
		service.Team = team
		if hasService {
			service.Team = existing.Team
			service.Kind = existing.Kind
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
	o.noteNumber++
	return true
}

// staleNote applies a different note with the current number, which must be
// refused.
func (o *oracle) staleNote() error {
	if o.noteNumber == 0 {
		return nil
	}
	if o.disabled == disableNoteOrder {
		state := cloneState(o.ledger.config.Load())
		state.Number--
		o.ledger.config.Store(state)
	}
	n := note.Note{
		Number: o.noteNumber,
		Changes: []note.Change{{
			Op:   note.OpAdd,
			Team: &note.Team{Name: fmt.Sprintf("conflicting-%d", o.intN(1000000))},
		}},
	}
	if result, ok := o.apply(Command{Note: &n}).(NoteResult); ok && result.Err == nil {
		return fmt.Errorf("note %d was replaced by a different note with the same number", o.noteNumber)
	}
	return nil
}

// endJobs marks the matching jobs of the model as ending, as a withdrawal does:
// none of their tasks may start any more.
func (o *oracle) endJobs(match func(*modelJob) bool) {
	for _, j := range o.jobs {
		if match(j) {
			j.ending = true
		}
	}
}

func (o *oracle) announce() error {
	id := fmt.Sprintf("worker-%d", o.intN(4))
	o.sessions++
	session := fmt.Sprintf("session-%d", o.sessions)
	capacity := quota.Resources{
		CPU:    quota.MilliCPU(1+o.intN(8)) * 1000,
		Memory: 4096,
	}
	result, _ := o.apply(Command{Announce: &Announce{
		Target:   id,
		Session:  session,
		Capacity: capacity,
		Slots:    1 + o.intN(4),
	}}).(AnnounceResult)
	_, hasSession := o.targets[id]
	if hasSession != (result.Refusal == RefusedSessionActive) {
		return fmt.Errorf("announce of %s: has session %t, got %q", id, hasSession, result.Refusal)
	}
	if hasSession {
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
	id := fmt.Sprintf("worker-%d", o.intN(4))
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
	id := fmt.Sprintf("worker-%d", o.intN(4))
	t, ok := o.targets[id]
	if !ok {
		return nil
	}
	o.apply(Command{EndSession: &EndSession{
		Target:  id,
		Session: t.session,
	}})
	delete(o.targets, id)
	for _, j := range o.jobs {
		for _, task := range j.tasks {
			if task.target != id {
				continue
			}
			if !task.held || j.released {
				task.mayHaveRun = true
			}
			task.target = ""
			task.held = false
			if task.mayHaveRun && !j.idempotent {
				task.done = true
			}
		}
	}
	return o.checkOutcomes()
}

func (o *oracle) submit() error {
	if len(o.services) == 0 {
		return nil
	}
	name := fmt.Sprintf("service-%d", o.intN(4))
	key := fmt.Sprintf("key-%d", o.intN(3))
	service, hasService := o.services[name]
	_, hasKey := o.keys[key]
	team := o.keyTeams[key]
	o.submits++
	id := uuidAt(o.now, o.submits)
	spec := Spec{
		Service: name,
		Count:   1 + o.intN(3),
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(1+o.intN(4)) * 500,
			Memory: 64,
		},
		Idempotent: o.intN(2) == 0,
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
	valid := hasService && hasKey && service.Team == team
	if valid != (result.Refusal == "") {
		return fmt.Errorf("submit to %s with %s of %s: valid %t, got %q", name, key, team, valid, result.Refusal)
	}
	if !valid {
		return nil
	}
	j := &modelJob{
		id:         result.Job,
		team:       team,
		key:        key,
		service:    name,
		resources:  spec.Resources,
		idempotent: spec.Idempotent,
		gang:       service.Kind == note.KindGang,
	}
	for range spec.Count {
		j.tasks = append(j.tasks, &modelTask{})
	}
	o.jobs = append(o.jobs, j)
	o.requestIDs = append(o.requestIDs, id)
	o.requestScopes[id] = string(TeamScope(team))
	return nil
}

// uuidAt returns a version 7 UUID with the given time, made unique by counter.
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
	if len(o.requestIDs) == 0 {
		return nil
	}
	i := o.intN(len(o.requestIDs))
	id := o.requestIDs[i]
	result, _ := o.apply(Command{Submit: &Submit{
		Request: RequestKey{
			Scope: Scope(o.requestScopes[id]),
			ID:    id,
		},
		Digest: "d" + id,
	}}).(SubmitResult)
	if !result.Duplicate || result.Job != o.jobs[i].id {
		return fmt.Errorf("repeated request %s returned job %d, want %d (%q)", id, result.Job, o.jobs[i].id, result.Refusal)
	}
	return nil
}

// recentJob returns one of the last 12 jobs, or nil if there are none.
func (o *oracle) recentJob() *modelJob {
	if len(o.jobs) == 0 {
		return nil
	}
	first := max(len(o.jobs)-12, 0)
	return o.jobs[first+o.intN(len(o.jobs)-first)]
}

// place proposes a random placement, and checks that the ledger accepts it
// exactly if the model finds it valid.
func (o *oracle) place() error {
	j := o.recentJob()
	if j == nil {
		return nil
	}
	group := JobPlacements{Job: j.id}
	for i, task := range j.tasks {
		id := fmt.Sprintf("worker-%d", o.intN(4))
		session := "none"
		if t, ok := o.targets[id]; ok {
			session = t.session
		}
		group.Placements = append(group.Placements, Placement{
			Task:    i,
			Attempt: task.attempt + 1,
			Target:  id,
			Session: session,
		})
		if !j.gang {
			group.Placements[0] = group.Placements[len(group.Placements)-1]
			group.Placements = group.Placements[:1]
			if o.intN(2) == 0 {
				break
			}
		}
	}
	valid := true
	earlier := []Placement{}
	for _, placement := range group.Placements {
		valid = valid && o.mayPlace(j, placement, earlier)
		earlier = append(earlier, placement)
	}
	result, _ := o.apply(Command{Place: &Place{Groups: []JobPlacements{group}}}).(PlaceResult)
	accepted := true
	for _, refusal := range result.Groups[0] {
		accepted = accepted && refusal == ""
	}
	if valid != accepted {
		return fmt.Errorf("placement of job %d %+v: valid %t, got %v", j.id, group.Placements, valid, result.Groups[0])
	}
	if !accepted {
		return nil
	}
	for _, placement := range group.Placements {
		task := j.tasks[placement.Task]
		task.attempt = placement.Attempt
		task.target = placement.Target
		task.session = placement.Session
	}
	j.released = false
	return nil
}

// mayPlace reports whether the placement is valid after the earlier ones of the
// same group.
func (o *oracle) mayPlace(j *modelJob, placement Placement, earlier []Placement) bool {
	t, ok := o.targets[placement.Target]
	task := j.tasks[placement.Task]
	if !ok || t.session != placement.Session || t.leaving || j.ending || task.done || task.target != "" {
		return false
	}
	if _, ok := o.keys[j.key]; !ok {
		return false
	}
	if task.mayHaveRun && !j.idempotent {
		return false
	}
	used, teamUsed := j.resources, j.resources
	slots := 1
	for _, other := range o.jobs {
		for _, otherTask := range other.tasks {
			if otherTask.target == placement.Target {
				used = used.Add(other.resources)
				slots++
			}
			if otherTask.target != "" && other.team == j.team {
				teamUsed = teamUsed.Add(other.resources)
			}
		}
	}
	for _, other := range earlier {
		teamUsed = teamUsed.Add(j.resources)
		if other.Target == placement.Target {
			used = used.Add(j.resources)
			slots++
		}
	}
	return used.FitsIn(t.capacity) && slots <= t.slots && teamUsed.FitsIn(o.limits[j.team])
}

// report reports a random event of an attempt, sometimes of an outdated one.
func (o *oracle) report() error {
	j := o.recentJob()
	if j == nil {
		return nil
	}
	i := o.intN(len(j.tasks))
	task := j.tasks[i]
	number := task.attempt
	if o.intN(10) == 0 && number > 0 {
		number--
	}
	kinds := []EventKind{EventStarted, EventStarted, EventHeld, EventFinished, EventStopped, EventFenced}
	event := Event{
		Attempt: Attempt{
			Job:    j.id,
			Task:   i,
			Number: number,
		},
		Kind: kinds[o.intN(len(kinds))],
		// The SHA-256 of the empty output.
		Checksum: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		ExitCode: o.intN(2),
	}
	before, _ := o.ledger.Job(j.id)
	state := before.Tasks[i].State
	o.apply(Command{Report: &Report{
		Target:  task.target,
		Session: task.session,
		Events:  []Event{event},
	}})
	if task.target == "" || number != task.attempt {
		return o.checkOutcomes()
	}
	o.applyEvent(j, task, event, state)
	return o.checkOutcomes()
}

// applyEvent updates the model with an event of a current attempt.
func (o *oracle) applyEvent(j *modelJob, task *modelTask, event Event, state TaskState) {
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
			task.mayHaveRun = true
			task.held = false
		}
		return
	case EventFenced:
		if state == TaskRunning {
			return
		}
	case EventFinished, EventStopped:
		task.mayHaveRun = true
		if event.ExitCode == 0 && event.Kind == EventFinished {
			task.done = true
		}
		if !j.idempotent {
			task.done = true
		}
	}
	task.target = ""
	task.held = false
}

func (o *oracle) cancel() error {
	if len(o.requestIDs) == 0 {
		return nil
	}
	i := o.intN(len(o.requestIDs))
	o.apply(Command{Cancel: &Cancel{Request: RequestKey{
		Scope: Scope(o.requestScopes[o.requestIDs[i]]),
		ID:    o.requestIDs[i],
	}}})
	o.jobs[i].ending = true
	return o.checkOutcomes()
}

func (o *oracle) preemptTask() error {
	j := o.recentJob()
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

// checkOutcomes checks that an outcome never changes, that only tasks that have
// not run are "not-run", and that no job has an outcome while one of its
// attempts may still be running.
func (o *oracle) checkOutcomes() error {
	for _, j := range o.jobs {
		job, ok := o.ledger.Job(j.id)
		if !ok {
			return fmt.Errorf("job %d is missing", j.id)
		}
		if j.outcome != "" && job.Outcome != j.outcome {
			return fmt.Errorf("outcome of job %d changed from %s to %q", j.id, j.outcome, job.Outcome)
		}
		j.outcome = job.Outcome
		if job.EndReason != ReasonNone {
			j.ending = true
		}
		for i, task := range j.tasks {
			if job.IsFinished() && task.target != "" {
				return fmt.Errorf("job %d is %s while task %d may run on %s", j.id, job.Outcome, i, task.target)
			}
			if job.Tasks[i].State.Final() {
				task.done = true
			}
			if job.Tasks[i].State == TaskNotRun && task.mayHaveRun {
				return fmt.Errorf("job %d task %d is not-run, but may have run", j.id, i)
			}
		}
	}
	return nil
}

func runOracle(seed uint64, disabled disabledCheck, steps int) error {
	o := newOracle(seed, disabled)
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

// reload continues from a snapshot, as a restarted replica does.
func (o *oracle) reload() error {
	data, err := o.ledger.Snapshot()()
	if err != nil {
		return err
	}
	restored := New(DefaultLimits())
	if err := restored.Restore(data); err != nil {
		return err
	}
	o.ledger = restored
	o.now += Millis(time.Second / time.Millisecond)
	return nil
}

func cloneState(s *note.State) *note.State {
	next := *s
	next.Teams = maps.Clone(s.Teams)
	next.Keys = maps.Clone(s.Keys)
	return &next
}
