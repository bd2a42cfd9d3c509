package push

import (
	"context"
	"maps"
	"slices"
	"strings"
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
	// decideGap is the least time between two decisions.
	decideGap = 4 * time.Millisecond
	// decideParts is how much longer than a decision the pause after it is.
	decideParts = 8
	// maxProposing bounds the decisions that are on their way into the log.
	maxProposing = 3
	upkeepEvery  = 100 * time.Millisecond
)

// Terms are the times of the leases that targets get.
type Terms struct {
	// TTL is how far ahead of its clock a target's lease is set.
	TTL time.Duration
	// Drift is by how much of a lease a target's clock may be slow.
	Drift float64
	// Margin is added to every wait for the end of a lease.
	Margin time.Duration
	// Wait is how long a renewal waits at the target for an end.
	Wait time.Duration
	// Call bounds a start, a stop and a pace.
	Call time.Duration
	// Silent is how old a target's last heartbeat may be for new work.
	Silent time.Duration
	// Settle is how long after an order a run that ends by it may be in
	// neither list of the target.
	Settle time.Duration
	// Keep is how long ended jobs are known.
	Keep time.Duration
}

// DefaultTerms returns the times that a leader starts with.
func DefaultTerms() Terms {
	return Terms{
		TTL:    4500 * time.Millisecond,
		Drift:  0.03,
		Margin: 400 * time.Millisecond,
		Wait:   1200 * time.Millisecond,
		Call:   400 * time.Millisecond,
		Silent: 4 * time.Second,
		Settle: 1500 * time.Millisecond,
		Keep:   180 * time.Second,
	}
}

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

// decideAll decides again and again, as things change.
func (l *leader) decideAll() {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		began := time.Now()
		if l.mayOrder() {
			l.decide()
		}
		if !group.Pause(l.ctx, max(decideGap, decideParts*time.Since(began))) {
			return
		}
	}
}

// decide makes one decision, and has it committed and its orders sent.
func (l *leader) decide() {
	l.mu.Lock()
	busy := l.proposing >= maxProposing
	pending := maps.Clone(l.pending)
	l.mu.Unlock()
	if busy {
		return
	}
	var d plan.Decision
	now := time.Now()
	l.part.ledger.View(now, func(v *graph.View) {
		d = plan.Decide(plan.Input{
			View:    v,
			Now:     now,
			Advice:  l.advice.of,
			Share:   l.advice.share,
			MayAsk:  l.advice.mayAsk,
			Usable:  l.usable,
			Pending: pending,
			Speed:   l.rater.Speed,
		})
	})
	since(l.part.metrics.decide, now)
	l.waits.note(now, d.Waits)
	for _, q := range d.Questions {
		l.advice.ask(q)
	}
	if len(d.Groups) == 0 {
		return
	}
	l.mu.Lock()
	l.proposing++
	for _, group := range d.Groups {
		for _, spot := range group {
			l.pending[spot.Task] = spot.Target
		}
	}
	l.mu.Unlock()
	l.done.Go(func() { l.commit(d) })
}

// commit brings a decision into the log, and sends its orders.
func (l *leader) commit(d plan.Decision) {
	result, fault := l.propose(l.ctx, graph.Command{Place: &graph.Place{Groups: d.Groups}})
	if fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: placements not committed")
	}
	l.mu.Lock()
	l.proposing--
	for _, group := range d.Groups {
		for _, spot := range group {
			delete(l.pending, spot.Task)
		}
	}
	l.mu.Unlock()
	l.poke()
	if fault != nil {
		return
	}
	placed := map[plan.StepKey][]string{}
	for i, group := range d.Groups {
		if refusal := result.Groups[i]; refusal != "" {
			l.log.WithFields(logrus.Fields{
				"job":     group[0].Task.Job,
				"refusal": refusal,
			}).Warn("sched: placement refused")
			continue
		}
		for _, spot := range group {
			step := stepOf(spot.Task)
			placed[step] = append(placed[step], spot.Task.Place(spot.Run)+"@"+spot.Target.ID)
			l.send(spot, d.Tickets[spot.Task])
		}
	}
	for step, spots := range placed {
		l.firstPlaced(step.Job)
		l.log.WithFields(logrus.Fields{
			"job":   step.Job,
			"tasks": strings.Join(spots, " "),
		}).Info("sched: placed")
	}
}

// firstPlaced notes how long the job has waited, at its first placement.
func (l *leader) firstPlaced(id graph.JobID) {
	l.mu.Lock()
	at, waits := l.admittedAt[id]
	delete(l.admittedAt, id)
	l.mu.Unlock()
	if waits {
		since(l.part.metrics.begun, at)
	}
}

// send has the target's driver order the start.
func (l *leader) send(spot graph.Spot, ticket string) {
	if d := l.driver(spot.Target); d != nil {
		d.start(spot.Task, spot.Run, ticket)
	}
}

func (l *leader) usable(id graph.TargetID) bool {
	d := l.driver(id)
	return d != nil && d.usable(time.Now())
}

// driver returns the driver of the lifetime, or nil.
func (l *leader) driver(id graph.TargetID) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drivers[id]
}

// all returns the drivers that there are now.
func (l *leader) all() []*driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.drivers))
}

// drive starts a driver for the target, unless there is one.
func (l *leader) drive(t graph.Target) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.drivers[t.ID]
	if d == nil && l.ctx.Err() == nil {
		d = newDriver(l, t)
		d.inherit()
		l.drivers[t.ID] = d
		l.done.Go(d.keep)
	}
	return d
}

// drop forgets the driver of an ended lifetime.
func (l *leader) drop(id graph.TargetID) {
	l.mu.Lock()
	d := l.drivers[id]
	delete(l.drivers, id)
	l.mu.Unlock()
	if d != nil {
		d.cancel()
		l.targets.Forget(&d.target)
	}
	l.poke()
}

// end commits that the lifetimes run nothing any more.
func (l *leader) end(why string, ids ...graph.TargetID) *wire.Fault {
	result, fault := l.propose(l.ctx, graph.Command{Gone: &graph.Gone{Targets: ids}})
	if fault != nil {
		l.log.WithFields(logrus.Fields{
			"targets": len(ids),
			"why":     why,
			"fault":   fault.Error(),
		}).Warn("target: end of lifetime not committed")
		return fault
	}
	l.logFinished(result.Finished)
	for _, id := range ids {
		l.log.WithFields(logrus.Fields{
			"target": id.ID,
			"born":   id.Born,
			"why":    why,
		}).Info("target: lifetime over")
		l.drop(id)
	}
	return nil
}

// logFinished writes a line for each job that has come to an end.
func (l *leader) logFinished(finished []graph.Finished) {
	for _, f := range finished {
		l.log.WithFields(logrus.Fields{
			"job":   f.Job,
			"state": f.State.String(),
		}).Info("job: over")
	}
}

// upkeep forgets old jobs and advice.
func (l *leader) upkeep() {
	every := 5 * time.Second
	for group.Pause(l.ctx, every) {
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
