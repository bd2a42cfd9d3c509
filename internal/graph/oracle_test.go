package graph

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// world is a ledger under random commands, with what the oracle keeps of it.
type world struct {
	ledger *Ledger
	now    Millis
	jobs   []JobID
	// runs are those that may go on somewhere, by task.
	runs map[TaskRef]map[uint32]TargetID
	// done are tasks that were told as done.
	done map[TaskRef]bool
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
		Tenants: []Tenant{{
			Name: "t",
			Keys: []string{"k"},
			Limit: quota.Room{
				CPU: limit,
			},
		}},
	}
}

var here = Address{
	Host: "h",
	Path: "/q/x",
	Key:  "k",
}

func (w *world) apply(c Command) Result {
	c.Time = w.now
	return w.ledger.Apply(c)
}

func newWorld() *world {
	w := &world{
		ledger: NewLedger(),
		now:    1000,
		runs:   map[TaskRef]map[uint32]TargetID{},
		done:   map[TaskRef]bool{},
	}
	w.apply(Command{Config: testConfig(1, 6000)})
	for i := range 3 {
		w.apply(Command{Target: announce(fmt.Sprint("w", i), 1, 4000)})
	}
	return w
}

func announce(id string, born int64, cpu quota.MilliCPU) *Announce {
	return &Announce{
		ID: TargetID{
			ID:   id,
			Born: born,
		},
		Service: "s",
		Capacity: quota.Room{
			CPU:    cpu,
			Memory: 1000,
		},
	}
}

func drawStep(t *rapid.T, at int) Step {
	step := Step{
		Count: rapid.IntRange(1, 3).Draw(t, "count"),
		Room: quota.Room{
			CPU:    quota.MilliCPU(rapid.IntRange(500, 2500).Draw(t, "cpu")),
			Memory: 10,
		},
		Gang:    rapid.IntRange(0, 3).Draw(t, "gang") == 0,
		Lasting: rapid.IntRange(0, 5).Draw(t, "lasting") == 0,
		Copies:  rapid.IntRange(0, 2).Draw(t, "copies") == 0,
		Filler:  rapid.IntRange(0, 4).Draw(t, "filler") == 0,
		Spread:  rapid.IntRange(0, 2).Draw(t, "spread"),
	}
	if at > 0 && rapid.Bool().Draw(t, "depends") {
		step.Depends = []int{at - 1}
	}
	return step
}

func (w *world) submit(t *rapid.T) {
	id := JobID(fmt.Sprintf("%016x", len(w.jobs)))
	spec := Spec{
		Times:   rapid.IntRange(0, 2).Draw(t, "times"),
		StartAt: w.now + Millis(rapid.IntRange(-500, 500).Draw(t, "start")),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		spec.Steps = append(spec.Steps, drawStep(t, i))
	}
	result := w.apply(Command{Submit: &Submit{
		Address: here,
		ID:      id,
		Spec:    spec,
	}})
	if result.Refusal != "" {
		t.Fatalf("job refused: %s", result.Refusal)
	}
	w.jobs = append(w.jobs, id)
}

func (w *world) drawTask(t *rapid.T) (TaskRef, *Job) {
	if len(w.jobs) == 0 {
		return TaskRef{}, nil
	}
	job := w.ledger.live[rapid.SampledFrom(w.jobs).Draw(t, "job")]
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

// place proposes a placement that may be wrong, and checks one that is taken.
func (w *world) place(t *rapid.T) {
	ref, job := w.drawTask(t)
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
	var group []Spot
	for _, member := range refs {
		group = append(group, Spot{
			Task: member,
			Run:  run,
			Target: TargetID{
				ID:   fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
				Born: 1,
			},
		})
	}
	turn := job.Turn(ref.Occurrence, ref.Step, w.now)
	result := w.apply(Command{Place: &Place{Groups: [][]Spot{group}}})
	if result.Groups[0] != "" {
		return
	}
	switch {
	case !turn:
		t.Fatalf("%s placed before its turn", ref.Name())
	case step.Gang && len(group) != step.Count:
		t.Fatalf("part of the gang of %s placed", ref.Name())
	}
	for _, spot := range group {
		w.taken(t, spot)
	}
}

func (w *world) taken(t *rapid.T, spot Spot) {
	if w.done[spot.Task] {
		t.Fatalf("%s placed though done", spot.Task.Name())
	}
	step := w.ledger.live[spot.Task.Job].Spec.Steps[spot.Task.Step]
	copied := step.Copies && !step.Gang && !step.Lasting
	before := w.runs[spot.Task]
	if len(before) > 0 && !copied || len(before) > 1 {
		t.Fatalf("%s placed while earlier runs may go on", spot.Task.Name())
	}
	for run, target := range before {
		if target == spot.Target || run >= spot.Run {
			t.Fatalf("%s run %d placed beside run %d on the same target or before it", spot.Task.Name(), spot.Run, run)
		}
	}
	if before == nil {
		w.runs[spot.Task] = map[uint32]TargetID{}
	}
	w.runs[spot.Task][spot.Run] = spot.Target
}

// endOne ends a run that goes on, or one that does not.
func (w *world) endOne(t *rapid.T) {
	ref, job := w.drawTask(t)
	if job == nil {
		return
	}
	end := End{
		Task: ref,
		Run:  uint32(rapid.IntRange(1, 6).Draw(t, "run")),
		How:  How(rapid.IntRange(int(HowDone), int(HowAbsent)).Draw(t, "how")),
		Target: TargetID{
			ID:   fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
			Born: 1,
		},
	}
	for run := uint32(1); run <= 6; run++ {
		target, goesOn := w.runs[ref][run]
		if goesOn && rapid.IntRange(0, 2).Draw(t, "this") > 0 {
			end.Run, end.Target = run, target
		}
	}
	step := job.Spec.Steps[ref.Step]
	counts := job.Task(ref).Run == end.Run && job.Task(ref).State == TaskPlaced ||
		step.Copies && !step.Gang && !step.Lasting
	w.apply(Command{Events: &Events{Ends: []End{end}}})
	if target, goesOn := w.runs[ref][end.Run]; !goesOn || target != end.Target {
		return
	}
	delete(w.runs[ref], end.Run)
	if end.How == HowDone && counts {
		w.done[ref] = true
	}
}

func (w *world) check(t *rapid.T) {
	l := w.ledger
	usage := map[string]quota.Room{}
	for id, target := range l.targets {
		var used quota.Room
		for ref, held := range target.Runs {
			used = used.Add(held.takes())
			usage[held.Tenant] = usage[held.Tenant].Add(held.Room)
			if w.runs[ref][held.Run] != id {
				t.Fatalf("%s holds %s run %d, which has ended", id.ID, ref.Name(), held.Run)
			}
		}
		if used != target.Used || !used.Fits(target.Capacity) {
			t.Fatalf("%s uses %v, says %v of %v", id.ID, used, target.Used, target.Capacity)
		}
	}
	if usage["t"] != l.usage["t"] || !Within(usage["t"], l.config.tenants["t"].Limit) {
		t.Fatalf("tenant uses %v, ledger says %v", usage["t"], l.usage["t"])
	}
	pending := 0
	for _, job := range l.live {
		if !job.Begun {
			pending++
		}
		w.checkJob(t, job)
	}
	if pending != l.pending["q"] {
		t.Fatalf("%d jobs pending, ledger says %d", pending, l.pending["q"])
	}
}

func (w *world) checkJob(t *rapid.T, job *Job) {
	waiting := 0
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Rounds {
			round := &job.Occurrences[k].Rounds[s]
			left, waits := 0, 0
			for i, task := range round.Tasks {
				ref := TaskRef{
					Job:        job.ID,
					Occurrence: k,
					Step:       s,
					Index:      i,
				}
				if task.State != TaskDone {
					left++
				}
				if task.State == TaskWaiting {
					waits++
				}
				if task.Held != len(w.runs[ref]) {
					t.Fatalf("%s has %d runs, ledger says %d", ref.Name(), len(w.runs[ref]), task.Held)
				}
				if w.done[ref] && task.State != TaskDone {
					t.Fatalf("%s is no longer done", ref.Name())
				}
			}
			if left != round.Left || waits != round.Waiting {
				t.Fatalf("step has %d left and %d waiting, says %d and %d", left, waits, round.Left, round.Waiting)
			}
			waiting += waits
		}
	}
	if waiting != job.Waiting {
		t.Fatalf("job has %d waiting, says %d", waiting, job.Waiting)
	}
}

// TestOracleLedger applies random commands, right and wrong ones, and holds
// the ledger against what the oracle keeps by itself.
func TestOracleLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"submit": w.submit,
			"place":  w.place,
			"end":    w.endOne,
			"wait": func(t *rapid.T) {
				w.now += Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
			},
			"cancel": func(t *rapid.T) {
				if ref, job := w.drawTask(t); job != nil {
					w.apply(Command{Cancel: &Cancel{
						Address: here,
						ID:      ref.Job,
					}})
				}
			},
			"gone": func(t *rapid.T) {
				id := TargetID{
					ID:   fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "target")),
					Born: 1,
				}
				w.apply(Command{Gone: &Gone{Targets: []TargetID{id}}})
				for _, runs := range w.runs {
					for run, target := range runs {
						if target == id {
							delete(runs, run)
						}
					}
				}
				w.apply(Command{Target: announce(id.ID, 1, 4000)})
			},
			"copy": func(t *rapid.T) {
				if ref, job := w.drawTask(t); job != nil {
					w.apply(Command{Copy: &Copy{Tasks: []TaskRef{ref}}})
				}
			},
			"evict": func(t *rapid.T) {
				if ref, job := w.drawTask(t); job != nil {
					w.apply(Command{Evict: &Evict{Tasks: []TaskRef{ref}}})
				}
			},
			"restore": func(t *rapid.T) {
				data, err := w.ledger.Capture()()
				if err != nil {
					t.Fatal(err)
				}
				w.ledger = NewLedger()
				if err := w.ledger.Restore(data); err != nil {
					t.Fatal(err)
				}
			},
			"": w.check,
		})
	})
}

func place(l *Ledger, now Millis, target string, run uint32, refs ...TaskRef) Refusal {
	var group []Spot
	for _, ref := range refs {
		group = append(group, Spot{
			Task: ref,
			Run:  run,
			Target: TargetID{
				ID:   target,
				Born: 1,
			},
		})
	}
	return l.Apply(Command{
		Time:  now,
		Place: &Place{Groups: [][]Spot{group}},
	}).Groups[0]
}

func end(l *Ledger, target string, run uint32, how How, ref TaskRef) {
	l.Apply(Command{Events: &Events{Ends: []End{{
		Target: TargetID{
			ID:   target,
			Born: 1,
		},
		Task: ref,
		Run:  run,
		How:  how,
	}}}})
}

func submitOne(l *Ledger, id JobID, steps ...Step) {
	l.Apply(Command{Submit: &Submit{
		Address: here,
		ID:      id,
		Spec:    Spec{Steps: steps},
	}})
}

func newTestLedger() *Ledger {
	l := NewLedger()
	l.Apply(Command{Config: testConfig(1, 0)})
	l.Apply(Command{Target: announce("w0", 1, 4000)})
	l.Apply(Command{Target: announce("w1", 1, 4000)})
	return l
}

func cpu(m quota.MilliCPU) quota.Room {
	return quota.Room{CPU: m}
}

// firstOf names the first lifetime of a target.
func firstOf(id string) TargetID {
	return TargetID{
		ID:   id,
		Born: 1,
	}
}

// oneTask is a step of one task.
func oneTask() Step {
	return Step{
		Count: 1,
		Room:  cpu(1000),
	}
}

func TestAttemptsUsedUp(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitOne(l, "a", oneTask())
	for run := uint32(1); run <= 2; run++ {
		c.Assert(place(l, 1, "w0", run, ref), qt.Equals, Refusal(""))
		end(l, "w0", run, HowFailed, ref)
	}
	state, _ := l.StateOf(here, "a")
	c.Assert(state, qt.Equals, StateFailed)
}

// A task of a step with copies goes on in two places, and the first to be done
// counts, whichever it is.
func TestCopyRunsBesideTheFirst(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	step := oneTask()
	step.Copies = true
	submitOne(l, "a", step)
	c.Assert(place(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	c.Assert(place(l, 1, "w1", 2, ref), qt.Equals, RefusedState)
	l.Apply(Command{Copy: &Copy{Tasks: []TaskRef{ref}}})
	c.Assert(place(l, 1, "w0", 2, ref), qt.Equals, RefusedHeld)
	c.Assert(place(l, 1, "w1", 2, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Copy{Tasks: []TaskRef{ref}}})
	c.Assert(place(l, 1, "w0", 3, ref), qt.Equals, RefusedState)
	w0, w1 := firstOf("w0"), firstOf("w1")
	c.Assert(l.OrderOf(w0, ref, 1).Wanted, qt.IsTrue)
	end(l, "w0", 1, HowDone, ref)
	state, _ := l.StateOf(here, "a")
	c.Assert(state, qt.Equals, StateCompleted)
	c.Assert(l.OrderOf(w1, ref, 2).Wanted, qt.IsFalse)
}

// Where a step may not be copied, asking for it changes nothing.
func TestNoCopyWhereNoneIsAllowed(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitOne(l, "a", oneTask())
	c.Assert(place(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Copy{Tasks: []TaskRef{ref}}})
	c.Assert(place(l, 1, "w1", 2, ref), qt.Equals, RefusedState)
}

func TestLostRunsAreNoAttempts(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	submitOne(l, "a", oneTask())
	for run := uint32(1); run <= 5; run++ {
		c.Assert(place(l, 1, "w0", run, ref), qt.Equals, Refusal(""))
		end(l, "w0", run, HowLapsed, ref)
	}
	state, _ := l.StateOf(here, "a")
	c.Assert(state, qt.Equals, StateRunning)
}

func TestGangEndsAsOne(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	submitOne(l, "a", Step{
		Count: 2,
		Room:  cpu(1000),
		Gang:  true,
	})
	first, second := TaskRef{Job: "a"}, TaskRef{
		Job:   "a",
		Index: 1,
	}
	c.Assert(place(l, 1, "w0", 1, first), qt.Equals, RefusedGang)
	c.Assert(place(l, 1, "w0", 1, first, second), qt.Equals, Refusal(""))
	end(l, "w0", 1, HowBroken, first)
	c.Assert(place(l, 1, "w1", 2, first, second), qt.Equals, RefusedHeld)
	end(l, "w0", 1, HowBroken, second)
	c.Assert(place(l, 1, "w1", 2, first, second), qt.Equals, Refusal(""))
	end(l, "w1", 2, HowDone, first)
	state, _ := l.StateOf(here, "a")
	c.Assert(state, qt.Equals, StateCompleted)
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	leaving := announce("w0", 1, 4000)
	leaving.Leaving = true
	l.Apply(Command{Target: leaving})
	l.Apply(Command{Target: announce("w0", 1, 4000)})
	submitOne(l, "a", Step{
		Count: 1,
		Room:  cpu(1000),
	})
	c.Assert(place(l, 1, "w0", 1, TaskRef{Job: "a"}), qt.Equals, RefusedLeaving)
}

func TestConfigNeverOlder(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	l.Apply(Command{Config: testConfig(7, 100)})
	l.Apply(Command{Config: testConfig(5, 200)})
	other := testConfig(7, 300)
	l.Apply(Command{Config: other})
	c.Assert(l.Config().Tenants[0].Limit.CPU, qt.Equals, quota.MilliCPU(100))
}

func TestConfigFaults(t *testing.T) {
	c := qt.New(t)
	config := testConfig(1, 0)
	config.Queues = append(config.Queues, Queue{
		Name:    "r",
		Host:    "h",
		Prefix:  "/q/",
		Service: "none",
	})
	config.Tenants = append(config.Tenants, Tenant{
		Name: "u",
		Keys: []string{"k"},
	})
	var messages []string
	for _, fault := range config.Check() {
		messages = append(messages, fault.Place+": "+fault.Message)
	}
	c.Assert(messages, qt.DeepEquals, []string{
		"queue r: unknown service none",
		"queue r: has the host and prefix of q",
		"queue r: timeout is not positive",
		"tenant u: shares a key with t",
	})
}

func TestKeysDecide(t *testing.T) {
	c := qt.New(t)
	l := newTestLedger()
	wrong := here
	wrong.Key = "other"
	result := l.Apply(Command{Submit: &Submit{
		Address: wrong,
		ID:      "a",
		Spec:    Spec{Steps: []Step{{Count: 1}}},
	}})
	c.Assert(result.Refusal, qt.Equals, RefusedKey)
	wrong.Path = "/none/"
	_, refusal := l.PendingOf(wrong)
	c.Assert(refusal, qt.Equals, RefusedNoQueue)
}

// A run of a copied task that is over is not wanted any more, though the task
// goes on elsewhere: its start must not be sent again.
func TestOverRunOfCopiedTaskIsNotWanted(t *testing.T) {
	c, l, ref := qt.New(t), newTestLedger(), TaskRef{Job: "a"}
	step := oneTask()
	step.Copies = true
	submitOne(l, "a", step)
	c.Assert(place(l, 1, "w0", 1, ref), qt.Equals, Refusal(""))
	l.Apply(Command{Copy: &Copy{Tasks: []TaskRef{ref}}})
	c.Assert(place(l, 1, "w1", 2, ref), qt.Equals, Refusal(""))
	w0, w1 := firstOf("w0"), firstOf("w1")
	c.Assert(l.OrderOf(w0, ref, 1).Wanted, qt.IsTrue)
	end(l, "w0", 1, HowAbsent, ref)
	c.Check(l.OrderOf(w0, ref, 1).Wanted, qt.IsFalse)
	c.Check(l.OrderOf(w0, ref, 2).Wanted, qt.IsFalse)
	c.Check(l.OrderOf(w1, ref, 2).Wanted, qt.IsTrue)
}
