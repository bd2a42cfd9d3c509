package push

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

// pacedWait is how long a renewal waits at a target whose filler work is
// watched.
const pacedWait = 500 * time.Millisecond

// pace steers the filler runs on the target by the services that it listed.
func (d *driver) pace(orders map[runKey]graph.Order, listing Listing) {
	var services []pace.Service
	var fillers []runKey
	for _, r := range listing.Running {
		key := keyOf(r.Task, r.Run)
		order := orders[key]
		switch {
		case !order.Wanted:
		case order.Filler:
			fillers = append(fillers, key)
		case order.Latency > 0:
			services = append(services, pace.Service{
				Tail:   time.Duration(r.Load) * time.Millisecond,
				Target: time.Duration(order.Latency) * time.Millisecond,
			})
		}
	}
	d.mu.Lock()
	d.watched = len(fillers) > 0 && len(services) > 0
	percent := d.pacer.Update(time.Now(), services)
	var changed []runKey
	for _, key := range fillers {
		if info := d.known(key); info.percent != percent && !info.pacing {
			info.pacing = true
			changed = append(changed, key)
		}
	}
	d.mu.Unlock()
	for _, key := range changed {
		d.leader.done.Go(func() { d.sendPace(key, percent) })
	}
}

func (d *driver) sendPace(key runKey, percent int) {
	ctx, cancel := context.WithTimeout(d.ctx, d.leader.part.terms.Call)
	defer cancel()
	clock, err := d.leader.targets.Pace(ctx, &d.target, Pace{
		Task:    key.task,
		Run:     key.run,
		Percent: percent,
		Token:   d.leader.token(),
	})
	d.note(clock, err)
	entry := d.log.WithFields(logrus.Fields{
		"job":     key.task.Job,
		"task":    key.task.Name(),
		"run":     key.run,
		"percent": percent,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.known(key)
	info.pacing = false
	if err != nil {
		entry.WithError(err).Warn("target: pace not taken")
		return
	}
	info.percent = percent
	entry.Info("target: paced")
}
