package node

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

const (
	// decideEvery is the longest time between two rounds of decisions.
	decideEvery = 20 * time.Millisecond
	// mostDecisions bounds one round.
	mostDecisions = 512
	// openRounds bounds the rounds whose outcome is not known yet.
	openRounds = 8
)

// schedule turns decisions into commands. Rounds overlap: the engine counts
// what it has decided as done until it hears otherwise.
func (l *leader) schedule() {
	var open errgroup.Group
	open.SetLimit(openRounds)
	ticker := time.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			_ = open.Wait()
			return
		case <-ticker.C:
		case <-l.wake:
		}
		began := time.Now()
		decisions := l.engine.Decide(began, mostDecisions)
		if len(decisions) == 0 {
			continue
		}
		l.node.meter.Decide.Observe(time.Since(began).Seconds() / float64(len(decisions)))
		open.Go(func() error {
			l.carryOut(decisions)
			return nil
		})
		if len(decisions) == mostDecisions {
			l.wakeScheduler()
		}
	}
}

// carryOut proposes the decisions, and tells the engine of those refused.
func (l *leader) carryOut(decisions []sched.Decision) {
	var placed []sched.Decision
	end := &ledger.End{}
	stop := &ledger.Stop{Reason: ledger.ReasonPreempted}
	for _, d := range decisions {
		l.node.meter.Decisions.WithLabelValues(verbName(d.Verb), d.Policy).Inc()
		switch d.Verb {
		case sched.VerbPlace:
			placed = append(placed, d)
		case sched.VerbRefuse:
			end.Items = append(end.Items, ledger.EndItem{
				Job:    ledger.JobID(d.Job),
				Reason: ledger.ReasonNeverFits,
				Detail: d.Reason,
			})
			l.node.log.Infof("sched: refused job=%d team=%s reason=%q wait=%s",
				d.Job, d.Team, d.Reason, d.Wait)
		case sched.VerbPreempt:
			stop.Attempts = append(stop.Attempts, l.victims(d)...)
		}
	}
	if len(end.Items) > 0 {
		l.proposeLogged(ledger.Command{End: end})
	}
	if len(stop.Attempts) > 0 {
		l.proposeLogged(ledger.Command{Stop: stop})
	}
	if len(placed) > 0 {
		l.place(placed)
	}
}

func (l *leader) victims(d sched.Decision) []ledger.Attempt {
	var attempts []ledger.Attempt
	for _, v := range d.Victims {
		l.node.log.Infof("sched: preempted job=%d task=%d worker=%s for=%d wait=%s",
			v.Job, v.Task, v.Worker, d.Job, d.Wait)
		attempts = append(attempts, ledger.Attempt{
			Job:    ledger.JobID(v.Job),
			Task:   v.Task,
			Number: v.Attempt,
		})
	}
	return attempts
}

func (l *leader) proposeLogged(c ledger.Command) {
	if _, fault := l.propose(l.ctx, c); fault != nil {
		l.node.log.Warnf("sched: not committed: %s", fault)
	}
}

func (l *leader) place(decisions []sched.Decision) {
	command := &ledger.Place{Groups: make([]ledger.Group, 0, len(decisions))}
	for _, d := range decisions {
		command.Groups = append(command.Groups, l.groupOf(d))
	}
	value, fault := l.propose(l.ctx, ledger.Command{Place: command})
	if fault != nil {
		l.placeFailed(decisions, fault)
		return
	}
	result, ok := value.(ledger.PlaceResult)
	if !ok {
		return
	}
	for i, d := range decisions {
		l.placeEnded(d, result.Groups[i])
	}
}

func (l *leader) groupOf(d sched.Decision) ledger.Group {
	group := ledger.Group{
		Job:   ledger.JobID(d.Job),
		Spots: make([]ledger.Spot, 0, len(d.Spots)),
	}
	for _, spot := range d.Spots {
		session := ""
		if target, ok := l.node.ledger.Target(spot.Worker); ok {
			session = target.Session
		}
		group.Spots = append(group.Spots, ledger.Spot{
			Task:    spot.Task,
			Attempt: spot.Attempt,
			Target:  spot.Worker,
			Session: session,
		})
	}
	return group
}

// recheckAfter is when placements of unknown outcome are looked for in the
// ledger.
const recheckAfter = 2 * proposeTimeout

// placeFailed takes the decisions back when they were surely not committed.
// When that is not known, the leadership is most likely lost, and the engine
// will be rebuilt from the ledger. If it is not, the ledger is asked later.
func (l *leader) placeFailed(decisions []sched.Decision, fault *wire.Fault) {
	l.node.log.Warnf("sched: placements not committed: %s", fault)
	if fault.Code == wire.CodeUncertain {
		l.done.Go(func() { l.recheck(decisions) })
		return
	}
	now := time.Now()
	for _, d := range decisions {
		l.engine.Refused(d.Job, d.Spots, now)
	}
}

// recheck takes back what the ledger does not have. Should a placement come
// to be committed later still, the engine is told of it.
func (l *leader) recheck(decisions []sched.Decision) {
	if !group.Pause(l.ctx, recheckAfter) {
		return
	}
	for _, d := range decisions {
		job, ok := l.node.ledger.Job(ledger.JobID(d.Job))
		if !ok || job.Over() {
			continue
		}
		var missing []sched.Spot
		for _, spot := range d.Spots {
			if job.Tasks[spot.Task].Attempt < spot.Attempt {
				missing = append(missing, spot)
			}
		}
		l.engine.Refused(d.Job, missing, time.Now())
	}
	l.wakeScheduler()
}

func (l *leader) placeEnded(d sched.Decision, refusals []ledger.Refusal) {
	var refused []sched.Spot
	for i, spot := range d.Spots {
		if refusals[i] == "" {
			l.node.log.Infof("sched: placed job=%d task=%d worker=%s policy=%s team=%s wait=%s",
				d.Job, spot.Task, spot.Worker, d.Policy, d.Team, d.Wait)
			continue
		}
		l.node.log.Infof("sched: not placed job=%d task=%d worker=%s refusal=%s",
			d.Job, spot.Task, spot.Worker, refusals[i])
		refused = append(refused, spot)
	}
	if len(refused) > 0 {
		l.engine.Refused(d.Job, refused, time.Now())
		l.wakeScheduler()
	}
}

func verbName(v sched.Verb) string {
	switch v {
	case sched.VerbPlace:
		return "place"
	case sched.VerbPreempt:
		return "preempt"
	case sched.VerbRefuse:
		return "refuse"
	}
	return "none"
}
