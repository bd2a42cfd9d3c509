package push

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/blame"
	"github.com/jasmineward/jasmineward/pkg/delay"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/rank"
	"github.com/jasmineward/jasmineward/pkg/rating"
)

const (
	proposeTimeout  = 4 * time.Second
	cleanupInterval = 5 * time.Second
	// announcedWithin is the maximum time since an instance was last heard from for
	// a new leader to announce itself to it. Each instance greets its peers in turn.
	announcedWithin = 10 * time.Second
	// minPrunedJobs is how many jobs must be past their retention before a
	// command to remove them is proposed.
	minPrunedJobs = 100
)

// leader makes decisions and sends orders during one term.
type leader struct {
	scheduler *Scheduler
	log       *logrus.Entry
	term      uint64
	started   time.Time
	wake      chan struct{}
	advice    *adviceClient
	relays    *relays
	targets   Targets

	rater *rating.Rater[plan.StepKey, graph.TargetID]
	moves *moves
	// preemptions has how often tasks were stopped for urgent work.
	preemptions *preemptions
	waitLog     *waitLog
	// restarts delays the starts of long-running tasks that end at once.
	restarts *restarts
	// doneTasks has the tasks that are done, as late ends of their runs have told.
	doneTasks *doneTasks
	// holds is the room held by the last decision, and unheld the steps for which it found
	// none. They were computed at holdsComputedAt. Only the decision loop uses them.
	holds           map[plan.StepKey]*plan.Hold
	unheld          map[plan.StepKey]bool
	holdsComputedAt time.Time
	// idleSince is from the last decision, and decisions counts them. Only the decision
	// loop uses them.
	idleSince map[graph.JobID]graph.Millis
	decisions int
	// urgent is from the last decision. Only the decision loop uses it.
	urgent plan.UrgentState
	// durations learns how long tasks take, by queue.
	durations rank.Ratios[string]
	// movesCheckedAt is when the moves out of evacuated failure domains were last chosen.
	// Only the decision loop uses it.
	movesCheckedAt time.Time
	// decisionPause is the pause after the last decision. Only the decision loop
	// uses it.
	decisionPause time.Duration
	// flowLimited is true while slow commits lower the bounds on proposals. Only the
	// decision loop uses it.
	flowLimited bool
	quarantine  *quarantine
	// admissions has the jobs that wait for their first placement, and those over the
	// rate of their client account.
	admissions *admissions
	// room bounds the memory that jobs take.
	room *jobRoom
	// losses has the losses of targets that this leader has seen, by address.
	losses *blame.Monitor[string, graph.TargetID, graph.TaskRef]
	// startLatency estimates the time until a start is answered.
	startLatency *delay.Estimator

	mu sync.Mutex
	// pendingPlacements are the placements that are being committed, and
	// proposalsInFlight counts the proposals that contain them.
	pendingPlacements map[graph.TaskRef]graph.TargetID
	proposalsInFlight int
	// flow bounds the proposals by the time of commits.
	flow *commitFlow
	// moving has the runs that are stopped so that their tasks are placed outside of
	// evacuated failure domains, by task, until that is done.
	moving map[graph.TaskRef]uint32
	// uncertainPlacements counts the placements whose commit is uncertain, by target.
	uncertainPlacements map[graph.TargetID]int
	drivers             map[graph.TargetID]*driver
	// currentIncarnations has the incarnation of each target that is known to have its
	// address, and leftIncarnations those that have said that they leave.
	currentIncarnations map[string]int64
	leftIncarnations    map[graph.TargetID]bool
	heartbeatOrders     map[graph.TargetID]*heartbeatOrder
	// replaced is the set of incarnations of which it is committed, or being
	// committed, that a later one of the target has replaced them.
	replaced map[graph.TargetID]bool

	// announcing has the incarnations whose announcement is being committed, and verifying
	// the targets of which a heartbeat is being verified.
	announcing *flights[graph.TargetID]
	verifying  *flights[string]

	// configuring is held while a configuration is being committed.
	configuring semaphore
	// completing is held while tasks are being completed.
	completing semaphore
	// evacuating is held while an evacuation or its withdrawal is being committed.
	evacuating semaphore

	fenced     atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newLeader(s *Scheduler, term uint64) *leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leader{
		scheduler:         s,
		log:               s.log.WithField("term", term),
		term:              term,
		started:           time.Now(),
		wake:              make(chan struct{}, 1),
		rater:             rating.NewRater[plan.StepKey, graph.TargetID](),
		moves:             newMoves(),
		preemptions:       newPreemptions(),
		restarts:          newRestarts(),
		doneTasks:         newDoneTasks(),
		waitLog:           newWaitLog(s.log.WithField("term", term), s.metrics),
		pendingPlacements: map[graph.TaskRef]graph.TargetID{},
		flow:              newCommitFlow(),

		uncertainPlacements: map[graph.TargetID]int{},

		admissions: newAdmissions(),
		room:       newJobRoom(s.ledger, s.maxJobBytes),
		quarantine: newQuarantine(),

		moving: map[graph.TaskRef]uint32{},

		losses:       blame.NewMonitor[string, graph.TargetID, graph.TaskRef](time.Now()),
		startLatency: delay.NewEstimator(minStartTimeout, s.timing.CallTimeout),

		drivers:         map[graph.TargetID]*driver{},
		heartbeatOrders: map[graph.TargetID]*heartbeatOrder{},
		announcing:      newFlights[graph.TargetID](),
		verifying:       newFlights[string](),
		configuring:     newSemaphore(1),
		completing:      newSemaphore(1),
		evacuating:      newSemaphore(1),
		replaced:        map[graph.TargetID]bool{},
		ctx:             ctx,
		cancel:          cancel,

		currentIncarnations: map[string]int64{},
		leftIncarnations:    map[graph.TargetID]bool{},
	}
	// Heartbeats may arrive as soon as the leader is known.
	for _, t := range s.ledger.Targets() {
		l.currentIncarnations[t.ID.ID] = max(l.currentIncarnations[t.ID.ID], t.ID.Incarnation)
	}
	l.admissions.restore(s.ledger.AdmissionsSince(graph.Millis(l.started.Add(-admissionHistory).UnixMilli())))
	l.advice = newAdviceClient(l)
	l.relays = newRelays(s.cell, l.log, s.timing.ClockDrift)
	l.targets = &relayedTargets{
		direct:  s.targets,
		relays:  l.relays,
		maySend: l.canSendOrders,
		metrics: s.metrics,
	}
	return l
}

// start starts the leader's goroutines, and a driver for each target in the
// ledger.
func (l *leader) start() {
	targets := l.scheduler.ledger.Targets()
	l.logEvacuations()
	l.goroutines.Go(func() {
		l.removeLeftPlaceholders()
		l.relays.checkAll(initialRelayCheckTimeout)
		for _, t := range targets {
			// The target may have left or been replaced during the checks.
			_, known := l.scheduler.ledger.Target(t.ID)
			current, _ := l.currentIncarnation(t.ID.ID)
			if known && t.ID.Incarnation == current {
				l.ensureDriver(t)
			}
		}
		l.relays.checkLoop(l.ctx)
	})
	l.goroutines.Go(func() { l.scheduler.cell.AnnounceLeadership(announcedWithin) })
	l.goroutines.Go(l.advice.recall)
	l.goroutines.Go(l.decisionLoop)
	l.goroutines.Go(l.cleanupLoop)
}

// stop cancels the leader's context and waits for its goroutines.
func (l *leader) stop() {
	l.cancel()
	l.goroutines.Wait()
}

// token returns the fencing token for the orders of this term.
func (l *leader) token() uint64 {
	return l.term
}

// canSendOrders reports whether this instance is certain to be the only leader
// now.
func (l *leader) canSendOrders() bool {
	return !l.fenced.Load() && l.scheduler.cell.HoldsLease()
}

// wakeDecisionLoop requests a decision soon.
func (l *leader) wakeDecisionLoop() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// propose commits a command, timestamped by the leader's clock.
func (l *leader) propose(ctx context.Context, c graph.Command) (graph.Result, *wire.Fault) {
	c.Time = graph.Millis(time.Now().UnixMilli())
	data, err := c.Encode()
	if err != nil {
		return graph.Result{}, wire.NewFault(wire.CodeInternal, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := l.proposeTimed(ctx, data)
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransfer):
		return graph.Result{}, wire.NewFault(wire.CodeNotLeader, "")
	case errors.Is(err, raft.ErrBusy):
		return graph.Result{}, wire.NewFault(wire.CodeUnavailable, err.Error())
	case errors.Is(err, raft.ErrTooLarge):
		return graph.Result{}, wire.NewFault(wire.CodeInternal, err.Error())
	case err != nil:
		if c.Place != nil {
			l.recordUncertain(c.Place)
		}
		return graph.Result{}, wire.NewFault(wire.CodeUncertain, err.Error())
	}
	result, ok := value.(graph.Result)
	if !ok {
		return graph.Result{}, wire.NewFault(wire.CodeInternal, "command was not understood")
	}
	return result, nil
}

// proposeTimed proposes an encoded command and records how long its commit takes.
func (l *leader) proposeTimed(ctx context.Context, data []byte) (any, error) {
	sent := time.Now()
	l.mu.Lock()
	number := l.flow.begin(sent)
	l.mu.Unlock()
	value, err := l.scheduler.cell.Propose(ctx, data)
	observeSince(l.scheduler.metrics.commit, sent)
	refused := errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransfer) ||
		errors.Is(err, raft.ErrBusy) || errors.Is(err, raft.ErrTooLarge)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow.end(number, time.Now(), refused)
	return value, err
}

// cleanupLoop periodically removes old jobs, and cached data of ended jobs. A
// decision takes the locks of that data while it reads the ledger, so the ledger is
// not read with one of them held: with a command waiting to be applied, both would
// wait for each other for good.
func (l *leader) cleanupLoop() {
	for group.SleepContext(l.ctx, cleanupInterval) {
		l.removeLeftPlaceholders()
		l.advice.removeEndedJobs()
		l.admissions.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) }, time.Now())
		l.moves.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) })
		l.preemptions.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) })
		l.restarts.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) })
		l.doneTasks.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) })
		l.rater.Forget(func(step plan.StepKey) bool { return !l.scheduler.ledger.IsLive(step.Job) })
		before := graph.Millis(time.Now().Add(-l.scheduler.timing.JobRetention).UnixMilli())
		if l.scheduler.ledger.CountEnded(before) < minPrunedJobs {
			continue
		}
		if _, fault := l.propose(l.ctx, graph.Command{Prune: &graph.Prune{Before: before}}); fault != nil {
			l.log.WithField("fault", fault.Error()).Warn("sched: removal of ended jobs not committed")
		}
	}
}
