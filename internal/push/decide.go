package push

import (
	"maps"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// decideGap is the least time between two decisions.
	decideGap = 4 * time.Millisecond
	// decideEvery is the longest time between two decisions.
	decideEvery = 100 * time.Millisecond
	// decideParts is how much longer than a decision the pause after it is.
	decideParts = 8
	// maxProposing bounds the decisions that are on their way into the log.
	maxProposing = 3
)

// decideAll decides again and again, as things change.
func (l *leader) decideAll() {
	ticker := time.NewTicker(decideEvery)
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
			Usable:  func(id graph.TargetID) bool { return l.usable(id, now) },
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
			step := plan.StepOf(spot.Task)
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
