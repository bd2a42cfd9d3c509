package node

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
)

const (
	maintenanceInterval = 100 * time.Millisecond
	// maxPruned limits the jobs pruned by one command.
	maxPruned = 2000
	// maxEnded limits the jobs ended by one command, and the jobs examined at
	// once for a team over its limit.
	maxEnded = 1000
)

// runMaintenance periodically enforces what the ledger, whose time advances only
// with commands, cannot: expired leases, start deadlines, incomplete gangs,
// draining targets, lowered team limits and the retention of results.
func (l *leader) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.endExpiredSessions(now)
			l.endOverdueJobs(now)
			l.stopIncompleteGangs(now)
			l.stopDrainingWork(now)
			l.enforceTeamLimits()
			l.pruneJobs(now)
			l.updateGauges()
		}
	}
}

// endExpiredSessions ends the sessions whose leases have expired. It does nothing
// unless this replica holds its leader lease, as another leader may be renewing
// the sessions.
func (l *leader) endExpiredSessions(now time.Time) {
	if !l.node.replica.Load().HoldsLease() {
		return
	}
	l.granter.EachExpired(now, func(key sessionKey) {
		if !l.markEnding(key) {
			return
		}
		l.goroutines.Go(func() { l.endSession(key) })
	})
}

// markEnding makes polls of the session fail from now on. It returns false if
// the session was marked already.
func (l *leader) markEnding(key sessionKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endingSessions[key] {
		return false
	}
	l.endingSessions[key] = true
	return true
}

func (l *leader) endSession(key sessionKey) {
	_, fault := l.propose(l.ctx, ledger.Command{EndSession: &ledger.EndSession{
		Target:  key.target,
		Session: key.session,
	}})
	if fault == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.endingSessions, key)
}

// endOverdueJobs ends the queued jobs whose start deadline has passed.
func (l *leader) endOverdueJobs(now time.Time) {
	l.mu.Lock()
	overdue := l.startDeadlines.popDue(now)
	l.mu.Unlock()
	end := &ledger.End{}
	for _, id := range overdue {
		job, ok := l.node.ledger.Job(id)
		if !ok || job.IsFinished() || job.Queued() == 0 {
			continue
		}
		if job.Active() > 0 {
			l.recheckDeadline(id, now)
			continue
		}
		end.Items = append(end.Items, ledger.EndItem{
			Job:    id,
			Reason: ledger.ReasonDeadline,
		})
		if len(end.Items) == maxEnded {
			l.proposeOrLog(ledger.Command{End: end})
			end = &ledger.End{}
		}
	}
	if len(end.Items) > 0 {
		l.proposeOrLog(ledger.Command{End: end})
	}
}

func (l *leader) recheckDeadline(id ledger.JobID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startDeadlines.add(id, now.Add(time.Second))
}

// stopIncompleteGangs stops the attempts of gangs that were not complete in time.
func (l *leader) stopIncompleteGangs(now time.Time) {
	l.mu.Lock()
	due := l.gangDeadlines.popDue(now)
	l.mu.Unlock()
	stop := &ledger.Stop{Reason: ledger.ReasonGangIncomplete}
	for _, id := range due {
		job, ok := l.node.ledger.Job(id)
		if !ok || job.Released || job.IsFinished() {
			continue
		}
		stop.Attempts = append(stop.Attempts, activeAttempts(job, func(t ledger.Task) bool {
			return t.StopReason == ledger.ReasonNone
		})...)
	}
	if len(stop.Attempts) > 0 {
		l.proposeOrLog(ledger.Command{Stop: stop})
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

// stopDrainingWork stops work that can run elsewhere on targets that have been
// leaving for longer than DrainAfter. It proposes all attempts; the ledger skips
// those that are not idempotent.
func (l *leader) stopDrainingWork(now time.Time) {
	l.mu.Lock()
	due := l.drainDeadlines.popDue(now)
	l.mu.Unlock()
	for _, key := range due {
		target, ok := l.node.ledger.Target(key.target)
		if !ok || target.Session != key.session || len(target.Attempts) == 0 {
			continue
		}
		l.proposeOrLog(ledger.Command{Stop: &ledger.Stop{
			Attempts: target.Attempts,
			Reason:   ledger.ReasonDrain,
		}})
	}
}

// enforceTeamLimits stops idempotent work of teams that run more than their
// limit, which may have been lowered. The newest jobs are stopped first.
func (l *leader) enforceTeamLimits() {
	config := l.node.ledger.Config()
	for _, name := range config.TeamNames() {
		running := l.node.ledger.Usage(name).Resources
		if running.FitsIn(config.Teams[name].Limit) {
			continue
		}
		l.enforceTeamLimit(config.Teams[name])
	}
}

func (l *leader) enforceTeamLimit(team note.Team) {
	jobs := l.node.ledger.Jobs(func(j *ledger.Job) bool {
		return j.Team == team.Name && j.Active() > 0
	}, maxEnded)
	running := l.node.ledger.Usage(team.Name).Resources
	stop := &ledger.Stop{Reason: ledger.ReasonOverLimit}
	for _, job := range jobs {
		stopping := len(activeAttempts(job, func(t ledger.Task) bool { return t.StopReason != ledger.ReasonNone }))
		running = running.Sub(job.Spec.Resources.Times(stopping))
	}
	for _, job := range jobs {
		if running.FitsIn(team.Limit) {
			break
		}
		if !job.Spec.Idempotent {
			continue
		}
		attempts := activeAttempts(job, func(t ledger.Task) bool { return t.StopReason == ledger.ReasonNone })
		for _, attempt := range attempts {
			if running.FitsIn(team.Limit) {
				break
			}
			stop.Attempts = append(stop.Attempts, attempt)
			running = running.Sub(job.Spec.Resources)
		}
	}
	if len(stop.Attempts) > 0 {
		l.node.log.Infof("sched: stopping attempts over the team limit team=%s attempts=%d", team.Name, len(stop.Attempts))
		l.proposeOrLog(ledger.Command{Stop: stop})
	}
}

// pruneJobs removes finished jobs past their retention, in the order in which
// they finished.
func (l *leader) pruneJobs(now time.Time) {
	at := ledger.Millis(now.UnixMilli())
	l.mu.Lock()
	count := 0
	for count < len(l.finishedJobs) && count < maxPruned && l.node.ledger.CanPrune(l.finishedJobs[count], at) {
		count++
	}
	jobs := append([]ledger.JobID(nil), l.finishedJobs[:count]...)
	l.mu.Unlock()
	if count == 0 {
		return
	}
	if _, fault := l.propose(l.ctx, ledger.Command{Prune: &ledger.Prune{Jobs: jobs}}); fault != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishedJobs = append([]ledger.JobID(nil), l.finishedJobs[count:]...)
}

func (l *leader) updateGauges() {
	stats := l.engine.Stats()
	l.node.metrics.PackingRatio.Set(stats.Packing)
	l.node.metrics.TasksWaiting.Set(float64(stats.Waiting))
}
