package graph

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// ledgerModel is a ledger under random commands, together with an independent
// model of its runs.
type ledgerModel struct {
	ledger *Ledger
	now    Millis
	jobs   []JobID
	// activeRuns are the targets of the runs that may be active, by task and
	// run number.
	activeRuns map[TaskRef]map[uint32]TargetID
	// doneTasks are the tasks that were reported as done.
	doneTasks map[TaskRef]bool
	// crashes counts the crashes of which a task was suspected.
	crashes map[TaskRef]int
	// attempts says what the job's queues allow and which runs have failed.
	attempts attemptModel
	// evacuated has the evacuated domains.
	evacuated map[string]bool
}

func testConfig(version int64, limit quota.MilliCPU) *Config {
	return &Config{
		Version: version,
		Queues: []Queue{{
			Name:     "q",
			Host:     "h",
			Prefix:   "/q/",
			Service:  "s",
			Timeout:  1000,
			Attempts: 2,
		}},
		Services: []Service{{Name: "s"}},
		ClientAccounts: []ClientAccount{{
			Name: "t",
			Keys: []string{"k"},
			Limit: quota.Resources{
				CPU: limit,
			},
		}},
	}
}

var testAddress = Address{
	Host: "h",
	Path: "/q/x",
	Key:  "k",
}

func (m *ledgerModel) apply(c Command) Result {
	c.Time = m.now
	return m.ledger.Apply(c)
}

func newLedgerModel() *ledgerModel {
	m := &ledgerModel{
		ledger:     NewLedger(),
		now:        1000,
		activeRuns: map[TaskRef]map[uint32]TargetID{},
		doneTasks:  map[TaskRef]bool{},
		crashes:    map[TaskRef]int{},
		attempts:   newAttemptModel(),
		evacuated:  map[string]bool{},
	}
	m.apply(Command{Config: testConfig(1, 6000)})
	for i := range 3 {
		m.apply(Command{Target: newAnnouncement(fmt.Sprint("w", i), 1, 4000)})
	}
	return m
}

func newAnnouncement(id string, incarnation int64, cpu quota.MilliCPU) *Announcement {
	return &Announcement{
		ID: TargetID{
			ID:          id,
			Incarnation: incarnation,
		},
		Service: "s",
		Capacity: quota.Resources{
			CPU:    cpu,
			Memory: 1000,
		},
	}
}

func drawStep(t *rapid.T, index int) Step {
	step := Step{
		Count: rapid.IntRange(1, 3).Draw(t, "count"),
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(rapid.IntRange(500, 2500).Draw(t, "cpu")),
			Memory: 10,
		},
		Gang:         rapid.IntRange(0, 3).Draw(t, "gang") == 0,
		LongRunning:  rapid.IntRange(0, 5).Draw(t, "long-running") == 0,
		Speculative:  rapid.IntRange(0, 2).Draw(t, "speculative") == 0,
		BestEffort:   rapid.IntRange(0, 4).Draw(t, "best-effort") == 0,
		MaxPerTarget: rapid.IntRange(0, 2).Draw(t, "max-per-target"),
	}
	if index > 0 && rapid.Bool().Draw(t, "depends") {
		step.DependsOn = []int{index - 1}
	}
	return step
}

func (m *ledgerModel) submit(t *rapid.T) {
	id := JobID(fmt.Sprintf("%016x", len(m.jobs)))
	spec := Spec{
		Occurrences: rapid.IntRange(0, 2).Draw(t, "occurrences"),
		StartAt:     m.now + Millis(rapid.IntRange(-500, 500).Draw(t, "start")),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		spec.Steps = append(spec.Steps, drawStep(t, i))
	}
	result := m.apply(Command{Submit: &Submit{
		Address: testAddress,
		ID:      id,
		Spec:    spec,
	}})
	if m.attempts.queue == "" {
		if result.Refusal != RefusedNoQueue {
			t.Fatalf("job without a queue is not refused: %q", result.Refusal)
		}
		return
	}
	if result.Refusal != "" {
		t.Fatalf("job refused: %s", result.Refusal)
	}
	m.jobs = append(m.jobs, id)
	m.attempts.queueOf[id] = m.attempts.queue
}

func (m *ledgerModel) drawTask(t *rapid.T) (TaskRef, *Job) {
	if len(m.jobs) == 0 {
		return TaskRef{}, nil
	}
	job := m.ledger.liveJobs[rapid.SampledFrom(m.jobs).Draw(t, "job")]
	if job == nil {
		return TaskRef{}, nil
	}
	ref := TaskRef{
		Job:        job.ID,
		Occurrence: rapid.IntRange(0, len(job.Occurrences)-1).Draw(t, "occurrence"),
		Step:       rapid.IntRange(0, len(job.Spec.Steps)-1).Draw(t, "step"),
	}
	ref.Index = rapid.IntRange(0, job.Spec.Steps[ref.Step].Count-1).Draw(t, "index")
	return ref, job
}

// place proposes a placement that may be invalid, and checks it if it is accepted.
func (m *ledgerModel) place(t *rapid.T) {
	ref, job := m.drawTask(t)
	if job == nil {
		return
	}
	step := job.Spec.Steps[ref.Step]
	refs := []TaskRef{ref}
	if step.Gang && rapid.IntRange(0, 4).Draw(t, "whole") > 0 {
		refs = refs[:0]
		for i := range step.Count {
			member := ref
			member.Index = i
			refs = append(refs, member)
		}
	}
	run := uint32(rapid.IntRange(1, 6).Draw(t, "run"))
	var group []Placement
	for _, member := range refs {
		group = append(group, Placement{
			Task: member,
			Run:  run,
			Target: TargetID{
				ID:          fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
				Incarnation: 1,
			},
		})
	}
	ready := job.IsStepReady(ref.Occurrence, ref.Step, m.now)
	result := m.apply(Command{Place: &Place{Groups: [][]Placement{group}}})
	if result.Groups[0] != "" {
		return
	}
	switch {
	case !ready:
		t.Fatalf("%s placed before its step was ready", ref.Name())
	case step.Gang && len(group) != step.Count:
		t.Fatalf("only part of the gang of %s placed", ref.Name())
	}
	for _, placement := range group {
		m.checkPlacement(t, placement)
	}
}

// checkPlacement checks an accepted placement against the model and records it.
func (m *ledgerModel) checkPlacement(t *rapid.T, placement Placement) {
	if m.doneTasks[placement.Task] {
		t.Fatalf("%s placed although it is done", placement.Task.Name())
	}
	step := m.ledger.liveJobs[placement.Task.Job].Spec.Steps[placement.Task.Step]
	speculative := step.Speculative && !step.Gang && !step.LongRunning
	before := m.activeRuns[placement.Task]
	if len(before) > 0 && !speculative || len(before) > 1 {
		t.Fatalf("%s placed while too many earlier runs may be active", placement.Task.Name())
	}
	for run, target := range before {
		if target == placement.Target || run >= placement.Run {
			t.Fatalf("%s run %d placed while run %d is active, on the same target or with a number that is not higher", placement.Task.Name(), placement.Run, run)
		}
	}
	if before == nil {
		m.activeRuns[placement.Task] = map[uint32]TargetID{}
	}
	m.activeRuns[placement.Task][placement.Run] = placement.Target
}

// endRun reports the end of a run that may or may not be active.
func (m *ledgerModel) endRun(t *rapid.T) {
	ref, job := m.drawTask(t)
	if job == nil {
		return
	}
	end := RunEnd{
		Task:    ref,
		Run:     uint32(rapid.IntRange(1, 6).Draw(t, "run")),
		Outcome: drawOutcome(t),
		Target: TargetID{
			ID:          fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
			Incarnation: 1,
		},
	}
	for run := uint32(1); run <= 6; run++ {
		target, active := m.activeRuns[ref][run]
		if active && rapid.IntRange(0, 2).Draw(t, "active") > 0 {
			end.Run, end.Target = run, target
		}
	}
	m.applyEnd(t, job, end)
}

// applyEnd applies the end of a run, and checks what the ledger makes of it.
func (m *ledgerModel) applyEnd(t *rapid.T, job *Job, end RunEnd) {
	ref := end.Task
	step := job.Spec.Steps[ref.Step]
	counts := job.Task(ref).Run == end.Run && job.Task(ref).State == TaskPlaced ||
		step.Speculative && !step.Gang && !step.LongRunning
	target, active := m.activeRuns[ref][end.Run]
	active = active && target == end.Target
	failed := active && end.Outcome == OutcomeFailed && !m.isDone(ref, step) &&
		m.attempts.recordFailedRun(ref, end.Run, step)
	// An end may be listed to two leaders, or twice to one.
	ends := slices.Repeat([]RunEnd{end}, rapid.IntRange(1, 2).Draw(t, "listed"))
	result := m.apply(Command{Events: &Events{Ends: ends}})
	m.attempts.checkFinished(t, result.Finished)
	if !active {
		return
	}
	delete(m.activeRuns[ref], end.Run)
	if end.Outcome == OutcomeDone && counts {
		m.doneTasks[ref] = true
	}
	if failed && m.ledger.IsLive(ref.Job) {
		m.attempts.checkLeft(t, ref, step)
	}
}

// check compares the totals that the ledger keeps with sums over its runs and
// jobs, and its runs with those of the model.
func (m *ledgerModel) check(t *rapid.T) {
	l := m.ledger
	usage := map[string]quota.Resources{}
	for id, target := range l.targets {
		var used quota.Resources
		for ref, active := range target.Runs {
			used = used.Add(active.Reserved())
			usage[active.ClientAccount] = usage[active.ClientAccount].Add(active.Resources)
			if m.activeRuns[ref][active.Run] != id {
				t.Fatalf("%s holds %s run %d, which has ended", id.ID, ref.Name(), active.Run)
			}
		}
		if used != target.Used || !used.FitsIn(target.Capacity) {
			t.Fatalf("%s uses %v, ledger says %v of %v", id.ID, used, target.Used, target.Capacity)
		}
	}
	if usage["t"] != l.usageByClientAccount["t"] || !WithinLimit(usage["t"], l.config.clientAccounts["t"].Limit) {
		t.Fatalf("client account uses %v, ledger says %v", usage["t"], l.usageByClientAccount["t"])
	}
	pending := map[string]int{}
	for _, job := range l.liveJobs {
		if !job.Started {
			pending[job.Queue]++
		}
		m.checkJob(t, job)
	}
	m.attempts.checkStates(t, l)
	for _, queue := range []string{"q", "r"} {
		if pending[queue] != l.pendingByQueue[queue] {
			t.Fatalf("%d jobs of %s pending, ledger says %d", pending[queue], queue, l.pendingByQueue[queue])
		}
	}
}

// crash ends the target, as a crash with some suspects or as an end of another kind.
func (m *ledgerModel) crash(t *rapid.T, id TargetID) {
	end := &EndIncarnations{Targets: []TargetID{id}}
	var running []TaskRef
	for ref, runs := range m.activeRuns {
		for _, target := range runs {
			if target == id {
				running = append(running, ref)
			}
		}
	}
	slices.SortFunc(running, func(a, b TaskRef) int { return strings.Compare(a.Name(), b.Name()) })
	crash := Crash{Target: id}
	for _, ref := range running {
		if rapid.Bool().Draw(t, "suspect") {
			crash.Suspects = append(crash.Suspects, ref)
			m.crashes[ref]++
		}
	}
	if len(crash.Suspects) > 0 {
		end.Crashes = []Crash{crash}
	}
	for _, finished := range m.apply(Command{Gone: end}).Finished {
		m.attempts.over[finished.Job] = true
		if given := finished.GaveUp; given != nil && m.crashes[given.Task] < maxCrashesAlone {
			t.Fatalf("%s was given up after %d crashes", given.Task.Name(), m.crashes[given.Task])
		}
	}
}

// checkSuspects compares the index of suspect tasks with the jobs and the model.
func (m *ledgerModel) checkSuspects(t *rapid.T) {
	counted := 0
	for _, job := range m.ledger.liveJobs {
		for _, c := range job.Crashes {
			counted++
			if c != m.ledger.suspects[c.Task] || c.Count > c.Total || c.Total > m.crashes[c.Task] ||
				c.Count >= maxCrashes || c.Total >= maxCrashesInAll {
				t.Fatalf("%s has %+v, the index says %+v, the model %d",
					c.Task.Name(), c, m.ledger.suspects[c.Task], m.crashes[c.Task])
			}
		}
	}
	if counted != len(m.ledger.suspects) {
		t.Fatalf("%d suspects, the index says %d", counted, len(m.ledger.suspects))
	}
}

func (m *ledgerModel) checkJob(t *rapid.T, job *Job) {
	waiting := 0
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			execution := &job.Occurrences[k].Steps[s]
			stepLeft, stepWaiting := 0, 0
			for i, task := range execution.Tasks {
				ref := TaskRef{
					Job:        job.ID,
					Occurrence: k,
					Step:       s,
					Index:      i,
				}
				if task.State != TaskDone {
					stepLeft++
				}
				if task.State == TaskWaiting {
					stepWaiting++
				}
				if task.ActiveRuns != len(m.activeRuns[ref]) {
					t.Fatalf("%s has %d runs, ledger says %d", ref.Name(), len(m.activeRuns[ref]), task.ActiveRuns)
				}
				if m.doneTasks[ref] && task.State != TaskDone {
					t.Fatalf("%s was done and is no longer done", ref.Name())
				}
			}
			if stepLeft != execution.Left || stepWaiting != execution.Waiting {
				t.Fatalf("step has %d tasks left and %d waiting, ledger says %d and %d", stepLeft, stepWaiting, execution.Left, execution.Waiting)
			}
			waiting += stepWaiting
		}
	}
	if waiting != job.Waiting {
		t.Fatalf("job has %d tasks waiting, ledger says %d", waiting, job.Waiting)
	}
}

// replaceTarget ends a target and starts it again.
func (m *ledgerModel) replaceTarget(t *rapid.T) {
	id := TargetID{
		ID:          fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
		Incarnation: 1,
	}
	m.crash(t, id)
	for _, runs := range m.activeRuns {
		for run, target := range runs {
			if target == id {
				delete(runs, run)
			}
		}
	}
	m.apply(Command{Target: newAnnouncement(id.ID, 1, 4000)})
}

// speculate requests a second run of a task.
func (m *ledgerModel) speculate(t *rapid.T) {
	if ref, job := m.drawTask(t); job != nil {
		m.apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	}
}

// restore continues with a ledger that is restored from a snapshot.
func (m *ledgerModel) restore(t *rapid.T) {
	data, err := m.ledger.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	m.ledger = NewLedger()
	if err := m.ledger.Restore(data); err != nil {
		t.Fatal(err)
	}
}

// Applies random commands, valid and invalid ones, and compares the ledger with an
// independent model after each of them.
func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel()
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"config": m.configure,
			"place":  m.place,
			"end":    m.endRun,
			"wait": func(t *rapid.T) {
				m.now += Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
			},
			"cancel": func(t *rapid.T) {
				if ref, job := m.drawTask(t); job != nil {
					m.apply(Command{Cancel: &Cancel{
						Address: testAddress,
						ID:      ref.Job,
					}})
				}
			},
			"gone": m.replaceTarget,
			"clear": func(t *rapid.T) {
				if ref, job := m.drawTask(t); job != nil {
					m.apply(Command{Clear: &ClearSuspicion{Tasks: []TaskRef{ref}}})
				}
			},
			"copy": m.speculate,
			"evict": func(t *rapid.T) {
				if ref, job := m.drawTask(t); job != nil {
					m.apply(Command{Evict: &Evict{Tasks: []TaskRef{ref}}})
				}
			},
			"evacuate": m.evacuate,
			"restore":  m.restore,
			"": func(t *rapid.T) {
				m.check(t)
				m.checkEvacuated(t)
				m.checkSuspects(t)
			},
		})
	})
}

func placeTasks(l *Ledger, now Millis, target string, run uint32, refs ...TaskRef) Refusal {
	var group []Placement
	for _, ref := range refs {
		group = append(group, Placement{
			Task: ref,
			Run:  run,
			Target: TargetID{
				ID:          target,
				Incarnation: 1,
			},
		})
	}
	return l.Apply(Command{
		Time:  now,
		Place: &Place{Groups: [][]Placement{group}},
	}).Groups[0]
}

func endRun(l *Ledger, target string, run uint32, outcome RunOutcome, ref TaskRef) {
	l.Apply(Command{Events: &Events{Ends: []RunEnd{{
		Target: TargetID{
			ID:          target,
			Incarnation: 1,
		},
		Task:    ref,
		Run:     run,
		Outcome: outcome,
	}}}})
}

func submitJob(l *Ledger, id JobID, steps ...Step) {
	l.Apply(Command{Submit: &Submit{
		Address: testAddress,
		ID:      id,
		Spec:    Spec{Steps: steps},
	}})
}

func newTestLedger() *Ledger {
	l := NewLedger()
	l.Apply(Command{Config: testConfig(1, 0)})
	l.Apply(Command{Target: newAnnouncement("w0", 1, 4000)})
	l.Apply(Command{Target: newAnnouncement("w1", 1, 4000)})
	return l
}

func cpuOnly(m quota.MilliCPU) quota.Resources {
	return quota.Resources{CPU: m}
}

// testTargetID returns the ID of a target's first incarnation.
func testTargetID(id string) TargetID {
	return TargetID{
		ID:          id,
		Incarnation: 1,
	}
}

func singleTaskStep() Step {
	return Step{
		Count:     1,
		Resources: cpuOnly(1000),
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	for run := uint32(1); run <= 2; run++ {
		c.Assert(placeTasks(l, 1, "w0", run, ref), qt.Equals, Refusal(""))
		endRun(l, "w0", run, OutcomeFailed, ref)
	}
	state, _ := l.StateOf(testAddress, "a")
	c.Assert(state, qt.Equals, StateFailed)
}

// A task that allows speculative execution runs on two targets, and the first
// run to complete completes the task; the other is then no longer desired.
func TestSpeculativeRunFirstToFinishWins(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	step := singleTaskStep()
	step.Speculative = true
	submitJob(l, "a", step)
	c.Assert(placeTasks(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	c.Assert(placeTasks(l, 1, "w1", 2, ref), qt.Equals, RefusedState)
	l.Apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	c.Assert(placeTasks(l, 1, "w0", 2, ref), qt.Equals, RefusedRunActive)
	c.Assert(placeTasks(l, 1, "w1", 2, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	c.Assert(placeTasks(l, 1, "w0", 3, ref), qt.Equals, RefusedState)
	w0, w1 := testTargetID("w0"), testTargetID("w1")
	c.Assert(l.AssignmentOf(w0, ref, 1).Desired, qt.IsTrue)
	endRun(l, "w0", 1, OutcomeDone, ref)
	state, _ := l.StateOf(testAddress, "a")
	c.Assert(state, qt.Equals, StateCompleted)
	c.Assert(l.AssignmentOf(w1, ref, 2).Desired, qt.IsFalse)
}

// A Speculate command has no effect on a step that does not allow it.
func TestSpeculateIgnoredWhenStepDisallowsIt(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	c.Assert(placeTasks(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	c.Assert(placeTasks(l, 1, "w1", 2, ref), qt.Equals, RefusedState)
}

func TestExpiredLeasesDoNotCountAsAttempts(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitJob(l, "a", singleTaskStep())
	for run := uint32(1); run <= 5; run++ {
		c.Assert(placeTasks(l, 1, "w0", run, ref), qt.Equals, Refusal(""))
		endRun(l, "w0", run, OutcomeLeaseExpired, ref)
	}
	state, _ := l.StateOf(testAddress, "a")
	c.Assert(state, qt.Equals, StateRunning)
}

func TestGangPlacedAndEndedTogether(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitJob(l, "a", Step{
		Count:     2,
		Resources: cpuOnly(1000),
		Gang:      true,
	})
	first, second := TaskRef{Job: "a"}, TaskRef{
		Job:   "a",
		Index: 1,
	}
	c.Assert(placeTasks(l, 1, "w0", 1, first), qt.Equals, RefusedPartialGang)
	c.Assert(placeTasks(l, 1, "w0", 1, first, second), qt.Equals, Refusal(""))
	endRun(l, "w0", 1, OutcomeGangBroken, first)
	c.Assert(placeTasks(l, 1, "w1", 2, first, second), qt.Equals, RefusedRunActive)
	endRun(l, "w0", 1, OutcomeGangBroken, second)
	c.Assert(placeTasks(l, 1, "w1", 2, first, second), qt.Equals, Refusal(""))
	endRun(l, "w1", 2, OutcomeDone, first)
	state, _ := l.StateOf(testAddress, "a")
	c.Assert(state, qt.Equals, StateCompleted)
}

func TestLeavingTargetRefusesPlacement(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	leaving := newAnnouncement("w0", 1, 4000)
	leaving.Leaving = true
	l.Apply(Command{Target: leaving})
	l.Apply(Command{Target: newAnnouncement("w0", 1, 4000)})
	submitJob(l, "a", Step{
		Count:     1,
		Resources: cpuOnly(1000),
	})
	c.Assert(placeTasks(l, 1, "w0", 1, TaskRef{Job: "a"}), qt.Equals, RefusedLeaving)
}

func TestConfigureRequiresNewerVersion(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	l.Apply(Command{Config: testConfig(7, 100)})
	l.Apply(Command{Config: testConfig(5, 200)})
	sameVersion := testConfig(7, 300)
	l.Apply(Command{Config: sameVersion})
	c.Assert(l.Config().ClientAccounts[0].Limit.CPU, qt.Equals, quota.MilliCPU(100))
}

func TestConfigCheck(t *testing.T) {
	c := qt.New(t)
	config := testConfig(1, 0)
	config.Queues = append(config.Queues, Queue{
		Name:    "r",
		Host:    "h",
		Prefix:  "/q/",
		Service: "none",
	})
	config.ClientAccounts = append(config.ClientAccounts, ClientAccount{
		Name: "u",
		Keys: []string{"k"},
	})
	var messages []string
	for _, fault := range config.Check() {
		messages = append(messages, fault.Path+": "+fault.Message)
	}
	c.Assert(messages, qt.DeepEquals, []string{
		"queue r: unknown service none",
		"queue r: has the host and prefix of q",
		"queue r: timeout is not positive",
		"tenant u: shares a key with t",
	})
}

func TestUnknownKeyOrQueueRefused(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	address := testAddress
	address.Key = "other"
	result := l.Apply(Command{Submit: &Submit{
		Address: address,
		ID:      "a",
		Spec:    Spec{Steps: []Step{{Count: 1}}},
	}})
	c.Assert(result.Refusal, qt.Equals, RefusedKey)
	address.Path = "/none/"
	_, refusal := l.PendingOf(address)
	c.Assert(refusal, qt.Equals, RefusedNoQueue)
}

// An ended run of a task with a second active run must not be desired: the
// leader would send its start again.
func TestEndedRunOfSpeculativeTaskNotDesired(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	step := singleTaskStep()
	step.Speculative = true
	submitJob(l, "a", step)
	c.Assert(placeTasks(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Speculate{Tasks: []TaskRef{ref}}})
	c.Assert(placeTasks(l, 1, "w1", 2, ref), qt.Equals, Refusal(""))
	w0, w1 := testTargetID("w0"), testTargetID("w1")
	c.Assert(l.AssignmentOf(w0, ref, 1).Desired, qt.IsTrue)
	endRun(l, "w0", 1, OutcomeNeverStarted, ref)
	c.Check(l.AssignmentOf(w0, ref, 1).Desired, qt.IsFalse)
	c.Check(l.AssignmentOf(w0, ref, 2).Desired, qt.IsFalse)
	c.Check(l.AssignmentOf(w1, ref, 2).Desired, qt.IsTrue)
}

// A cancel that its proposer has checked has no address, and one with an address is from
// an earlier release. A replica of that release must apply both as this one does.
func TestCheckedCancelNeedsNoAddress(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	submitJob(l, "a", singleTaskStep())
	submitJob(l, "b", singleTaskStep())
	c.Check(l.CheckCancel(Address{}, "a"), qt.Equals, RefusedKey)
	c.Check(l.CheckCancel(testAddress, "none"), qt.Equals, RefusedNoJob)
	c.Check(l.CheckCancel(testAddress, "a"), qt.Equals, Refusal(""))
	c.Check(l.Apply(Command{Cancel: &Cancel{ID: "a"}}).Refusal, qt.Equals, Refusal(""))
	c.Check(l.IsLive("a"), qt.IsFalse)
	c.Check(l.Apply(Command{Cancel: &Cancel{
		Address: testAddress,
		ID:      "b",
	}}).Refusal, qt.Equals, Refusal(""))
	c.Check(l.IsLive("b"), qt.IsFalse)
}
