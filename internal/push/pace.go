package push

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/pace"
)

// pacedRenewalWait bounds the wait of a renewal while best-effort tasks run
// beside services on the target, since each listing adjusts their pace.
const pacedRenewalWait = 500 * time.Millisecond

// adjustPace sets the pace of the target's best-effort runs from the response
// times of the services that it listed.
func (d *driver) adjustPace(assignments map[runKey]graph.Assignment, list RunList) {
	var services []pace.Service
	var bestEffort []runKey
	for _, r := range list.Running {
		key := keyOf(r.Task, r.Run)
		assignment := assignments[key]
		switch {
		case !assignment.Desired:
		case assignment.BestEffort:
			bestEffort = append(bestEffort, key)
		case assignment.Latency > 0:
			services = append(services, pace.Service{
				TailLatency:   time.Duration(r.Load) * time.Millisecond,
				LatencyTarget: time.Duration(assignment.Latency) * time.Millisecond,
			})
		}
	}
	d.mu.Lock()
	d.bestEffortBesideServices = len(bestEffort) > 0 && len(services) > 0
	percent := d.paceController.Update(time.Now(), services)
	var changed []runKey
	for _, key := range bestEffort {
		if info := d.runInfo(key); info.percent != percent && !info.pacing {
			info.pacing = true
			changed = append(changed, key)
		}
	}
	d.mu.Unlock()
	for _, key := range changed {
		d.leader.goroutines.Go(func() { d.sendPace(key, percent) })
	}
}

func (d *driver) sendPace(key runKey, percent int) {
	ctx, cancel := context.WithTimeout(d.ctx, d.leader.scheduler.timing.CallTimeout)
	defer cancel()
	clock, err := d.leader.targets.Pace(ctx, &d.target, Pace{
		Task:    key.task,
		Run:     key.run,
		Percent: percent,
		Token:   d.leader.token(),
	})
	d.recordAnswer(clock, err)
	entry := d.log.WithFields(logrus.Fields{
		"job":     key.task.Job,
		"task":    key.task.Name(),
		"run":     key.run,
		"percent": percent,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	info.pacing = false
	if err != nil {
		entry.WithError(err).Warn("target: pace not taken")
		return
	}
	info.percent = percent
	entry.Info("target: pace set")
}
