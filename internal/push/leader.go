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
	"github.com/jasmineward/jasmineward/pkg/delay"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/rating"
)

const (
	proposeTimeout = 4 * time.Second
	upkeepEvery    = 5 * time.Second
)

// leader decides and sends orders, from one term's start to its end.
type leader struct {
	part    *Part
	log     *logrus.Entry
	term    uint64
	started time.Time
	wake    chan struct{}
	advice  *advice
	relays  *relays
	targets Targets

	rater *rating.Rater[plan.StepKey, graph.TargetID]
	waits *waits
	// startTimes are those of answers to starts.
	startTimes *delay.Estimator

	mu sync.Mutex
	// pending are placements on their way into the log; proposing counts
	// the proposals that bring them.
	pending   map[graph.TaskRef]graph.TargetID
	proposing int
	// admittedAt are the jobs admitted by this leader that have not begun.
	admittedAt map[graph.JobID]time.Time
	drivers    map[graph.TargetID]*driver
	// newest is the newest lifetime known of an id, over tells of those that
	// have ended.
	newest map[string]int64
	over   map[graph.TargetID]bool

	fenced atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newLeader(p *Part, term uint64) *leader {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leader{
		part:    p,
		log:     p.log.WithField("term", term),
		term:    term,
		started: time.Now(),
		wake:    make(chan struct{}, 1),
		rater:   rating.NewRater[plan.StepKey, graph.TargetID](),
		waits:   newWaits(p.log.WithField("term", term), p.metrics.waiting),
		pending: map[graph.TaskRef]graph.TargetID{},

		admittedAt: map[graph.JobID]time.Time{},

		startTimes: delay.NewEstimator(leastStartWait, p.terms.Call),

		drivers: map[graph.TargetID]*driver{},
		newest:  map[string]int64{},
		over:    map[graph.TargetID]bool{},
		ctx:     ctx,
		cancel:  cancel,
	}
	l.advice = newAdvice(l)
	l.relays = newRelays(p.host, l.log)
	l.targets = &relayed{
		direct:  p.targets,
		relays:  l.relays,
		metrics: p.metrics,
	}
	return l
}

// start takes over the targets that the ledger knows.
func (l *leader) start() {
	targets := l.part.ledger.Targets()
	for _, t := range targets {
		l.newest[t.ID.ID] = max(l.newest[t.ID.ID], t.ID.Born)
	}
	l.done.Go(func() {
		l.relays.check(relaySettle)
		for _, t := range targets {
			l.drive(t)
		}
		l.relays.watch(l.ctx)
	})
	l.done.Go(l.decideAll)
	l.done.Go(l.upkeep)
}

func (l *leader) stop() {
	l.cancel()
	l.done.Wait()
}

// token returns the fencing token of every order of this term.
func (l *leader) token() uint64 {
	return l.term
}

// mayOrder tells whether this instance surely leads alone now.
func (l *leader) mayOrder() bool {
	return !l.fenced.Load() && l.part.host.Replica().LeaseLive()
}

// poke has the leader decide soon.
func (l *leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// propose commits a command under the leader's clock.
func (l *leader) propose(ctx context.Context, c graph.Command) (graph.Result, *wire.Fault) {
	c.Time = graph.Millis(time.Now().UnixMilli())
	data, err := c.Encode()
	if err != nil {
		return graph.Result{}, wire.Newf(wire.CodeInternal, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	sent := time.Now()
	value, err := l.part.host.Replica().Propose(ctx, data)
	since(l.part.metrics.commit, sent)
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeaderChanging):
		return graph.Result{}, wire.Newf(wire.CodeNotLeader, "")
	case errors.Is(err, raft.ErrBusy):
		return graph.Result{}, wire.Newf(wire.CodeUnavailable, err.Error())
	case err != nil:
		return graph.Result{}, wire.Newf(wire.CodeUncertain, err.Error())
	}
	result, ok := value.(graph.Result)
	if !ok {
		return graph.Result{}, wire.Newf(wire.CodeInternal, "command was not understood")
	}
	return result, nil
}

// upkeep forgets old jobs and advice.
func (l *leader) upkeep() {
	for group.Pause(l.ctx, upkeepEvery) {
		l.advice.clean()
		l.forgetAdmitted()
		l.rater.Forget(func(step plan.StepKey) bool { return !l.part.ledger.Live(step.Job) })
		before := graph.Millis(time.Now().Add(-l.part.terms.Keep).UnixMilli())
		if l.part.ledger.Ended(before) < 100 {
			continue
		}
		if _, fault := l.propose(l.ctx, graph.Command{Prune: &graph.Prune{Before: before}}); fault != nil {
			l.log.WithField("fault", fault.Error()).Warn("sched: prune not committed")
		}
	}
}

// forgetAdmitted drops the times of jobs that ended without having begun.
func (l *leader) forgetAdmitted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.admittedAt {
		if !l.part.ledger.Live(id) {
			delete(l.admittedAt, id)
		}
	}
}
