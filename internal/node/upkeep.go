package node

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
)

const (
	upkeepEvery = 100 * time.Millisecond
	// mostPruned bounds the jobs forgotten in one command.
	mostPruned = 2000
	// mostEnded bounds the jobs ended in one command.
	mostEnded = 1000
)

// upkeep watches the times that the ledger itself can't: leases, deadlines,
// gangs that are not whole, targets that leave, limits that were lowered and
// answers past their retention.
func (l *leader) upkeep() {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.endSessions(now)
			l.endLate(now)
			l.endHolds(now)
			l.drainTargets(now)
			l.drawDown()
			l.prune(now)
			l.gauges()
		}
	}
}

// endSessions ends the sessions whose leases are surely over. While this
// replica is not surely the leader, another may be renewing them.
func (l *leader) endSessions(now time.Time) {
	if !l.node.replica.Load().LeaseLive() {
		return
	}
	l.granter.Ended(now, func(key sessionKey) {
		if !l.markEnding(key) {
			return
		}
		l.done.Go(func() { l.endSession(key) })
	})
}

// markEnding has polls of the session refused from now on.
func (l *leader) markEnding(key sessionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending[key] {
		return false
	}
	l.ending[key] = true
	return true
}

func (l *leader) endSession(key sessionKey) {
	_, fault := l.propose(l.ctx, ledger.Command{Session: &ledger.EndSession{
		Target:  key.target,
		Session: key.session,
	}})
	if fault == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ending, key)
}

// endLate ends the queued jobs whose time to start has passed.
func (l *leader) endLate(now time.Time) {
	l.mu.Lock()
	late := l.deadlines.due(now)
	l.mu.Unlock()
	end := &ledger.End{}
	for _, id := range late {
		job, ok := l.node.ledger.Job(id)
		if !ok || job.Over() || job.Queued() == 0 {
			continue
		}
		if job.Active() > 0 {
			l.watchAgain(id, now)
			continue
		}
		end.Items = append(end.Items, ledger.EndItem{
			Job:    id,
			Reason: ledger.ReasonDeadline,
		})
		if len(end.Items) == mostEnded {
			l.proposeLogged(ledger.Command{End: end})
			end = &ledger.End{}
		}
	}
	if len(end.Items) > 0 {
		l.proposeLogged(ledger.Command{End: end})
	}
}

func (l *leader) watchAgain(id ledger.JobID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadlines.add(id, now.Add(time.Second))
}

// endHolds lets go of gangs that were not held whole in time.
func (l *leader) endHolds(now time.Time) {
	l.mu.Lock()
	due := l.gangs.due(now)
	l.mu.Unlock()
	stop := &ledger.Stop{Reason: ledger.ReasonGang}
	for _, id := range due {
		job, ok := l.node.ledger.Job(id)
		if !ok || job.Released || job.Over() {
			continue
		}
		stop.Attempts = append(stop.Attempts, activeAttempts(job, func(t ledger.Task) bool {
			return t.Stop == ledger.ReasonNone
		})...)
	}
	if len(stop.Attempts) > 0 {
		l.proposeLogged(ledger.Command{Stop: stop})
	}
}

func activeAttempts(job *ledger.Job, match func(ledger.Task) bool) []ledger.Attempt {
	var attempts []ledger.Attempt
	for i, task := range job.Tasks {
		if task.State.Active() && match(task) {
			attempts = append(attempts, ledger.Attempt{
				Job:    job.ID,
				Task:   i,
				Number: task.Attempt,
			})
		}
	}
	return attempts
}

// drainTargets stops what can run elsewhere on targets that have been
// leaving for long.
func (l *leader) drainTargets(now time.Time) {
	l.mu.Lock()
	due := l.drains.due(now)
	l.mu.Unlock()
	for _, key := range due {
		target, ok := l.node.ledger.Target(key.target)
		if !ok || target.Session != key.session || len(target.Attempts) == 0 {
			continue
		}
		l.proposeLogged(ledger.Command{Stop: &ledger.Stop{
			Attempts: target.Attempts,
			Reason:   ledger.ReasonDrain,
		}})
	}
}

// drawDown stops idempotent work of teams whose limit was lowered below what
// they run, the newest first.
func (l *leader) drawDown() {
	config := l.node.ledger.Config()
	for _, name := range config.TeamNames() {
		running := l.node.ledger.Usage(name).Running
		if running.Fits(config.Teams[name].Limit) {
			continue
		}
		l.drawDownTeam(config.Teams[name])
	}
}

func (l *leader) drawDownTeam(team note.Team) {
	jobs := l.node.ledger.Jobs(func(j *ledger.Job) bool {
		return j.Team == team.Name && j.Active() > 0
	}, mostEnded)
	running := l.node.ledger.Usage(team.Name).Running
	stop := &ledger.Stop{Reason: ledger.ReasonOverLimit}
	for _, job := range jobs {
		stopping := len(activeAttempts(job, func(t ledger.Task) bool { return t.Stop != ledger.ReasonNone }))
		running = running.Sub(job.Spec.Room.Times(stopping))
	}
	for _, job := range jobs {
		if running.Fits(team.Limit) {
			break
		}
		if !job.Spec.Idempotent {
			continue
		}
		attempts := activeAttempts(job, func(t ledger.Task) bool { return t.Stop == ledger.ReasonNone })
		for _, attempt := range attempts {
			if running.Fits(team.Limit) {
				break
			}
			stop.Attempts = append(stop.Attempts, attempt)
			running = running.Sub(job.Spec.Room)
		}
	}
	if len(stop.Attempts) > 0 {
		l.node.log.Infof("sched: drawing down team=%s attempts=%d", team.Name, len(stop.Attempts))
		l.proposeLogged(ledger.Command{Stop: stop})
	}
}

// prune forgets answers past their retention, in the order they ended.
func (l *leader) prune(now time.Time) {
	at := ledger.Millis(now.UnixMilli())
	l.mu.Lock()
	count := 0
	for count < len(l.finished) && count < mostPruned && l.node.ledger.MayPrune(l.finished[count], at) {
		count++
	}
	jobs := append([]ledger.JobID(nil), l.finished[:count]...)
	l.mu.Unlock()
	if count == 0 {
		return
	}
	if _, fault := l.propose(l.ctx, ledger.Command{Prune: &ledger.Prune{Jobs: jobs}}); fault != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append([]ledger.JobID(nil), l.finished[count:]...)
}

func (l *leader) gauges() {
	stats := l.engine.Stats()
	l.node.meter.Packing.Set(stats.Packing)
	l.node.meter.Waits.Set(float64(stats.Waiting))
}
