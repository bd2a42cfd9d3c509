package blame

import (
	"math/rand/v2"
	"time"
)

const (
	// tick is the resolution of the simulated time.
	tick = 10 * time.Millisecond
	// dayLength is the simulated time.
	dayLength = 40 * time.Second
	// deadlyAfter is how long a deadly task runs before its machine crashes.
	deadlyAfter = 10 * time.Millisecond
	// deadlyFrom and deadlyTo bound the time in which deadly tasks arrive.
	deadlyFrom = 5 * time.Second
	deadlyTo   = 15 * time.Second
	// freshTime is how long a run is suspected of a crash.
	freshTime = 5 * time.Second
	// silenceNoticeTime is how long after the loss of a silent machine it is noticed.
	silenceNoticeTime = time.Second
	// weighDelay is how long after its loss a crash is weighed.
	weighDelay = 300 * time.Millisecond
	// maxDeadlyCrashes is how many crashes a deadly task may cause: it may be started
	// twice more after three.
	maxDeadlyCrashes = 5
)

// fleetSizes has the number of seeds by the number of machines.
var fleetSizes = map[int]uint64{
	8:   4,
	48:  4,
	350: 2,
}

// minDeadlyFleet is the smallest fleet in which deadly tasks are simulated: they leave
// nothing up in a smaller one.
const minDeadlyFleet = 48

// machine is a simulated machine.
type machine struct {
	up      bool
	since   time.Time
	backAt  time.Time
	lost    Span
	weighed bool
	running []*task
	// suspects is the number of suspect tasks on the machine.
	suspects int
}

// task is a simulated task that starts anew when its machine has crashed.
type task struct {
	deadly  bool
	started time.Time
	left    time.Duration
	weight  Weight
	crashes int
	givenUp bool
	done    bool
	machine *machine
}

// fleet simulates tasks on machines that crash.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	monitor  *Monitor[int, time.Time, *task]
	waiting  []*task
	tasks    []*task
	// deadlyShare is the fraction of deadly tasks among those that arrive from
	// deadlyFrom to deadlyTo.
	deadlyShare float64
	// emptiest is true if tasks start on the machine with the fewest.
	emptiest bool
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     epoch,
		monitor: NewMonitor[int, time.Time, *task](epoch),
	}
	for range size {
		f.machines = append(f.machines, &machine{
			up:    true,
			since: epoch,
		})
	}
	return f
}

// crash takes the machine down. A dark one is noticed later, and less exactly.
func (f *fleet) crash(i int, down time.Duration, dark bool) {
	m := f.machines[i]
	if !m.up {
		return
	}
	m.up = false
	m.backAt = f.now.Add(time.Duration((0.9 + 0.2*f.random.Float64()) * float64(down)))
	m.lost = Span{
		From: f.now.Add(-50 * time.Millisecond),
		To:   f.now,
	}
	if dark {
		m.lost.To = f.now.Add(silenceNoticeTime)
	}
}

// crashShare takes a share of the machines down at once.
func (f *fleet) crashShare(share float64, down time.Duration, dark bool) {
	order := f.random.Perm(len(f.machines))
	for _, i := range order[:int(share*float64(len(order)))] {
		f.crash(i, down, dark)
	}
}

// weigh weighs the crash of the machine, if the monitor has seen it.
func (f *fleet) weigh(i int) {
	m := f.machines[i]
	m.weighed = true
	if m.lost.To.Before(f.monitor.started) {
		return
	}
	event := Crash[int, time.Time, *task]{
		Machine:  i,
		Life:     m.since.Add(time.Duration(i)),
		Span:     m.lost,
		Known:    m.lost.To.Sub(m.since.Add(max(0, f.monitor.started.Sub(m.since)))),
		Fleet:    len(f.machines),
		Observed: len(f.machines) / 2,

		IsCleared: f.isCleared,
	}
	for k, other := range f.machines {
		if k != i && !other.up {
			event.Open = append(event.Open, Open[time.Time, *task]{
				Life: other.since.Add(time.Duration(k)),
				Span: other.lost,
			})
		}
	}
	var suspects []*task
	for _, t := range m.running {
		if exposure := m.lost.To.Sub(t.started); exposure < freshTime {
			suspects = append(suspects, t)
			event.Suspects = append(event.Suspects, Suspect[*task]{
				Task:     t,
				Exposure: exposure,
				Weight:   t.weight,
			})
		}
	}
	for k, weight := range f.monitor.Weigh(&event) {
		suspects[k].weight = max(0, suspects[k].weight+weight)
		suspects[k].givenUp = suspects[k].weight >= GiveUpWeight
	}
}

// returnMachine starts the machine again, and its tasks elsewhere.
func (f *fleet) returnMachine(i int) {
	m := f.machines[i]
	if !m.weighed {
		f.weigh(i)
	}
	for _, t := range m.running {
		if !t.givenUp {
			f.waiting = append(f.waiting, t)
		}
	}
	m.running = nil
	m.up = true
	m.weighed = false
	m.since = f.now
}

// clearFactor is how many times longer than before a crash a task has to run to be cleared
// of it.
const clearFactor = 10

// isCleared reports whether the task is done, or runs for much longer than the exposure.
func (f *fleet) isCleared(t *task, exposure time.Duration) bool {
	return t.done || t.machine != nil && t.machine.up && f.now.Sub(t.started) > clearFactor*exposure
}

// changeObserver replaces the monitor by one that has seen nothing yet.
func (f *fleet) changeObserver() {
	f.monitor = NewMonitor[int, time.Time, *task](f.now)
}

// startTasks starts the tasks that wait.
func (f *fleet) startTasks() {
	if len(f.waiting) == 0 {
		return
	}
	var up []*machine
	for _, m := range f.machines {
		if m.up {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return
	}
	for _, m := range f.machines {
		m.suspects = 0
		for _, t := range m.running {
			m.countSuspect(t)
		}
	}
	for _, t := range f.waiting {
		best := up[f.random.IntN(len(up))]
		for _, m := range up {
			if f.isBetter(t, m, best) {
				best = m
			}
		}
		t.started = f.now
		t.machine = best
		best.running = append(best.running, t)
		best.countSuspect(t)
	}
	f.waiting = nil
}

// countSuspect counts the task if it is a suspect.
func (m *machine) countSuspect(t *task) {
	if t.weight >= SuspectWeight {
		m.suspects++
	}
}

// isBetter reports whether the task starts rather on the machine than on the other one.
// Suspects are kept apart from each other and from other tasks.
func (f *fleet) isBetter(t *task, m, other *machine) bool {
	suspect := t.weight >= SuspectWeight
	if m.suspects != other.suspects {
		return m.suspects < other.suspects
	}
	return (f.emptiest || suspect) && len(m.running) < len(other.running)
}

// runTasks ends the tasks that are done, and the machines of deadly ones.
func (f *fleet) runTasks() {
	for i, m := range f.machines {
		switch {
		case !m.up && !f.now.Before(m.backAt):
			f.returnMachine(i)
			continue
		case !m.up && !m.weighed && f.now.Sub(m.lost.To) >= weighDelay:
			f.weigh(i)
			continue
		case !m.up:
			continue
		}
		var running []*task
		deadly := 0
		for _, t := range m.running {
			age := f.now.Sub(t.started)
			if t.deadly && age >= deadlyAfter {
				deadly++
				t.crashes++
			}
			t.done = !t.deadly && age >= t.left
			if !t.done {
				running = append(running, t)
			}
		}
		m.running = running
		if deadly > 0 {
			f.crash(i, 3*time.Second, false)
		}
	}
}

// play simulates a day with the given trouble. Short and long tasks arrive all the time.
func (f *fleet) play(trouble func(at time.Duration)) {
	for at := time.Duration(0); at < dayLength; at += tick {
		f.now = epoch.Add(at)
		if f.random.IntN(100) < len(f.machines) {
			t := &task{
				left:   640 * time.Millisecond,
				deadly: at >= deadlyFrom && at < deadlyTo && f.random.Float64() < f.deadlyShare,
			}
			if f.random.IntN(3) == 0 {
				t.left = 4800 * time.Millisecond
			}
			f.tasks = append(f.tasks, t)
			f.waiting = append(f.waiting, t)
		}
		trouble(at)
		f.runTasks()
		f.startTasks()
	}
}

// each reports whether the time is a multiple of the interval.
func each(at, interval time.Duration) bool {
	return at%interval == 0
}
