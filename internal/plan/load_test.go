package plan

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/rank"
)

// simulation plays a load against the planner in virtual time, with targets and
// an advisor that behave ideally.
type simulation struct {
	*fixture

	random *rand.Rand
	// approval is the fraction of targets that the advisor approves.
	approval float64
	// callers is the number of advice calls that may be in progress.
	callers   int
	events    []simulatedEvent
	completed map[graph.JobID]time.Time
	started   map[graph.JobID]time.Time
	// slowdown is the ratio of the mean duration of runs to their estimate, and ratios
	// learns it.
	slowdown float64
	ratios   rank.Ratios[string]
	// preempted counts the preemptions by task, stopped has the runs that were stopped, rests
	// what is left of their tasks, and lost sums up the core-seconds that were thrown away.
	preempted map[graph.TaskRef]int
	stopped   map[graph.TaskRef]uint32
	rests     map[graph.TaskRef]time.Duration
	lost      float64
}

// simulatedEvent is a state change at a time.
type simulatedEvent struct {
	at  time.Time
	run func()
}

// tick is the time between two decisions.
const tick = 20 * time.Millisecond

func newSimulation(approval float64, callers int) *simulation {
	s := &simulation{
		fixture:   newFixture(0, quota.Resources{}),
		random:    rand.New(rand.NewPCG(1, 2)),
		approval:  approval,
		callers:   callers,
		completed: map[graph.JobID]time.Time{},
		started:   map[graph.JobID]time.Time{},
		slowdown:  1,
		preempted: map[graph.TaskRef]int{},
		stopped:   map[graph.TaskRef]uint32{},
		rests:     map[graph.TaskRef]time.Duration{},
	}
	s.expectedEnds = map[graph.TaskRef]time.Time{}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, simulatedEvent{
		at:  s.now.Add(d),
		run: run,
	})
}

// play runs the simulation for the given time.
func (s *simulation) play(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		s.runDueEvents()
		decision := s.decide()
		s.startAll(decision)
		for _, request := range decision.AdviceRequests {
			s.advise(request)
		}
	}
}

func (s *simulation) runDueEvents() {
	sort.SliceStable(s.events, func(i, j int) bool { return s.events[i].at.Before(s.events[j].at) })
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		event := s.events[0]
		s.events = s.events[1:]
		event.run()
	}
}

// startAll commits the placements and has each run end after its time.
func (s *simulation) startAll(d Decision) {
	for i, refusal := range s.commit(d) {
		if refusal != "" {
			continue
		}
		for _, placement := range d.Groups[i] {
			s.startRun(placement)
		}
	}
}

func (s *simulation) startRun(placement graph.Placement) {
	var runTime, estimate time.Duration
	var queue string
	s.ledger.View(s.now, func(v *graph.View) {
		step := &v.Jobs()[placement.Task.Job].Spec.Steps[placement.Task.Step]
		estimate = time.Duration(step.Estimate) * time.Millisecond
		queue = v.Jobs()[placement.Task.Job].Queue
	})
	runTime = time.Duration(float64(estimate) * s.slowdown * (0.7 + 0.6*s.random.Float64()))
	if rest, resumed := s.rests[placement.Task]; resumed {
		runTime = rest
	}
	s.expectedEnds[placement.Task] = s.now.Add(runTime)
	s.after(runTime, func() {
		if s.stopped[placement.Task] == placement.Run {
			return
		}
		s.ratios.Observe(queue, runTime, estimate)
		result := s.ledger.Apply(graph.Command{
			Time: graph.Millis(s.now.UnixMilli()),
			Events: &graph.Events{Ends: []graph.RunEnd{{
				Target:  placement.Target,
				Task:    placement.Task,
				Run:     placement.Run,
				Outcome: graph.OutcomeDone,
			}}},
		})
		for _, finished := range result.Finished {
			s.completed[finished.Job] = s.now
		}
	})
}

// preemptAll stops the runs, which takes 0.2 to 0.9 s. Their tasks lose up to a second of work,
// and 0.3 s to resume.
func (s *simulation) preemptAll(d Decision) {
	for _, preemption := range d.Preemptions {
		ref := preemption.Task
		s.preempted[ref]++
		s.ledger.Apply(graph.Command{Evict: &graph.Evict{Tasks: []graph.TaskRef{ref}}})
		s.after(time.Duration(200+s.random.IntN(700))*time.Millisecond, func() {
			if !s.expectedEnds[ref].After(s.now) {
				return
			}
			s.stopped[ref] = preemption.Run
			again := time.Duration(s.random.IntN(1300)) * time.Millisecond
			s.rests[ref] = s.expectedEnds[ref].Sub(s.now) + again
			s.lost += again.Seconds() * cores(preemption.Reserved)
			s.ledger.Apply(graph.Command{
				Time: graph.Millis(s.now.UnixMilli()),
				Events: &graph.Events{Ends: []graph.RunEnd{{
					Target:     preemption.Target,
					Task:       ref,
					Run:        preemption.Run,
					Outcome:    graph.OutcomeStopped,
					Checkpoint: "c",
				}}},
			})
		})
	}
}

// advise starts a call if a caller is free. Which targets are approved for a step
// does not change.
func (s *simulation) advise(request AdviceRequest) {
	if s.callers == 0 {
		return
	}
	s.callers--
	next := newAdvice(s.now)
	if known := s.advice[request.Step]; known != nil {
		for id := range known.Requested {
			next.Requested[id] = true
		}
		for id, ticket := range known.Approved {
			next.Approved[id] = ticket
		}
	}
	waiting := *next
	waiting.InFlight = true
	s.advice[request.Step] = &waiting
	timing := request.Queue.Advice
	s.after(timing.Base+time.Duration(len(request.Targets))*timing.Each, func() {
		s.callers++
		for _, id := range request.Targets {
			next.Requested[id] = true
			if s.isApproved(request.Step, id) {
				next.Approved[id] = Ticket{
					Value:     id,
					ExpiresAt: s.now.Add(timing.Valid),
				}
			}
		}
		s.advice[request.Step] = next
	})
}

func (s *simulation) isApproved(step StepKey, id string) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, step.Job, step.Step, id)
	return float64(h.Sum64()%1000) < s.approval*1000
}

// submitEvery submits a job of one step regularly, with a random count of up to
// maxCount tasks.
func (s *simulation) submitEvery(interval, until time.Duration, queue string, maxCount int, step graph.Step) {
	for i := 0; time.Duration(i)*interval < until; i++ {
		id := graph.JobID(fmt.Sprintf("%s-%03d", queue, i))
		step.Count = 1 + s.random.IntN(maxCount)
		step := step
		s.after(time.Duration(i)*interval, func() {
			s.started[id] = s.now
			s.submit(queue, id, step)
		})
	}
}

// shareWithin returns the fraction of the queue's jobs that completed within the
// limit.
func (s *simulation) shareWithin(queue string, limit time.Duration) float64 {
	in, all := 0, 0
	for id, started := range s.started {
		if len(id) < len(queue) || string(id[:len(queue)]) != queue {
			continue
		}
		all++
		if at, done := s.completed[id]; done && at.Sub(started) <= limit {
			in++
		}
	}
	return float64(in) / float64(all)
}

// Pattern: large accelerator tasks that fill most of a target each, and a steady
// stream of small ones, at over nine tenths of the accelerators there are. The
// advisor approves a third of the targets for a step. Each kind must find room in
// time, neither at the expense of the other.
func TestLargeTasksBesideStreamOfSmallOnes(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(0.35, 10)
	for i := range 13 {
		s.acceleratorTarget(fmt.Sprintf("gpu%02d", i), 8)
	}
	large := acceleratorStep(1, 8, 3600)
	s.submitEvery(650*time.Millisecond, 40*time.Second, "advised", 2, large)
	s.submitEvery(700*time.Millisecond, 40*time.Second, "batch", 12, acceleratorStep(1, 1, 3000))
	s.play(60 * time.Second)
	largeShare := s.shareWithin("advised", 10*time.Second)
	smallShare := s.shareWithin("batch", 15*time.Second)
	t.Logf("large in time %.2f, small in time %.2f", largeShare, smallShare)
	c.Check(largeShare >= 0.9, qt.IsTrue)
	c.Check(smallShare >= 0.9, qt.IsTrue)
}
