package node

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/lease"
	"github.com/jasmineward/jasmineward/pkg/sched"
	"github.com/jasmineward/jasmineward/pkg/shard"
)

const (
	proposeTimeout = 5 * time.Second
	maxRecentNotes = 1000
)

// sessionKey identifies a session of a target.
type sessionKey struct {
	target  string
	session string
}

// leader holds the state that an instance has only while it leads: it grants
// leases, schedules work and enforces deadlines. All of it is rebuilt from the
// ledger.
type leader struct {
	node            *Node
	term            uint64
	engine          *sched.Engine
	granter         *lease.Granter[sessionKey]
	targetNotifiers *shard.Map[string, *notifier]
	jobNotifiers    *shard.Map[ledger.JobID, *notifier]
	schedulerWake   chan struct{}

	mu             sync.Mutex
	recentNotes    []note.Note
	noteNotifier   *notifier
	instances      map[string]instanceRecord
	startDeadlines *deadlineQueue[ledger.JobID]
	gangDeadlines  *deadlineQueue[ledger.JobID]
	drainDeadlines *deadlineQueue[sessionKey]
	finishedJobs   []ledger.JobID
	// endingSessions holds sessions that are being ended.
	endingSessions map[sessionKey]bool
	// supersededSessions holds sessions whose target has since asked for a
	// new one.
	supersededSessions map[sessionKey]bool
	draining           bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// instanceRecord is the last feed request that the leader had from an instance.
type instanceRecord struct {
	status   wire.InstanceStatus
	lastSeen time.Time
}

// newLeader builds the leader state from the ledger. It must be called on the
// goroutine that applies commands, so that the ledger does not change meanwhile.
func newLeader(n *Node, term uint64) *leader {
	ctx, cancel := context.WithCancel(n.ctx)
	opts := append([]sched.Option{sched.WithUnschedulableGrace(n.cfg.Timing.NeverFitsGrace)}, n.engineOptions...)
	l := &leader{
		node:               n,
		term:               term,
		engine:             sched.NewEngine(opts...),
		granter:            lease.NewGranter[sessionKey](n.cfg.Timing.Lease),
		targetNotifiers:    shard.NewMap[string, *notifier](),
		jobNotifiers:       shard.NewMap[ledger.JobID, *notifier](),
		schedulerWake:      make(chan struct{}, 1),
		noteNotifier:       newNotifier(),
		instances:          map[string]instanceRecord{},
		startDeadlines:     &deadlineQueue[ledger.JobID]{},
		gangDeadlines:      &deadlineQueue[ledger.JobID]{},
		drainDeadlines:     &deadlineQueue[sessionKey]{},
		endingSessions:     map[sessionKey]bool{},
		supersededSessions: map[sessionKey]bool{},
		ctx:                ctx,
		cancel:             cancel,
	}
	l.rebuild()
	return l
}

// rebuild loads teams, targets and jobs into the engine. Every session gets a
// full lease from now, because the previous leader may have granted one just
// before it was replaced.
func (l *leader) rebuild() {
	now := time.Now()
	l.setTeams(l.node.ledger.Config())
	for _, target := range l.node.ledger.Targets() {
		l.granter.Grant(keyOf(target), now)
		l.engine.SetWorker(workerOf(target))
		if target.Leaving {
			l.engine.CordonWorker(target.ID)
			l.drainDeadlines.add(keyOf(target), now.Add(l.node.cfg.Timing.DrainAfter))
		}
	}
	for _, job := range l.node.ledger.UnfinishedJobs() {
		l.restoreJob(job, now)
	}
	l.finishedJobs = l.node.ledger.FinishedJobIDs()
}

func (l *leader) restoreJob(job *ledger.Job, now time.Time) {
	l.addDeadlines(job)
	l.engine.RestoreJob(jobOf(job))
	for i, task := range job.Tasks {
		switch {
		case task.State.Active():
			l.engine.ConfirmPlacement(sched.JobID(job.ID), i, task.Attempt, task.Target, now)
		case task.State == ledger.TaskQueued:
			l.engine.Requeue(sched.JobID(job.ID), i, task.Attempt, now)
		}
	}
}

func (l *leader) start() {
	l.goroutines.Go(l.runScheduler)
	l.goroutines.Go(l.runMaintenance)
	l.goroutines.Go(l.maintainVoters)
}

// stop cancels all leader goroutines and waits for them. Blocked calls return at
// once.
func (l *leader) stop() {
	l.cancel()
	l.goroutines.Wait()
}

// drain makes blocked calls return their current result before a planned stop.
func (l *leader) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.targetNotifiers.Range(func(_ string, n *notifier) bool {
		n.notify()
		return true
	})
	l.jobNotifiers.Range(func(_ ledger.JobID, n *notifier) bool {
		n.notify()
		return true
	})
	l.noteNotifier.notify()
}

func (l *leader) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// propose stamps a command with the leader's clock and commits it.
func (l *leader) propose(ctx context.Context, c ledger.Command) (any, *wire.Fault) {
	replica := l.node.replica.Load()
	c.Time = ledger.Millis(time.Now().UnixMilli())
	data, err := c.Encode()
	if err != nil {
		return nil, wire.NewFault(wire.CodeInternal, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := replica.Propose(ctx, data)
	if err != nil {
		return nil, l.node.faultFor(err)
	}
	if failed, ok := value.(error); ok {
		return nil, wire.NewFault(wire.CodeInternal, failed.Error())
	}
	return value, nil
}

func keyOf(t *ledger.Target) sessionKey {
	return sessionKey{
		target:  t.ID,
		session: t.Session,
	}
}

func workerOf(t *ledger.Target) sched.Worker {
	return sched.Worker{
		ID:       t.ID,
		Capacity: t.Capacity,
		Slots:    t.Slots,
		Rack:     t.Rack,
		Domain:   t.Domain,
	}
}

func jobOf(j *ledger.Job) sched.Job {
	job := sched.Job{
		ID:              sched.JobID(j.ID),
		Team:            j.Team,
		Service:         j.Spec.Service,
		Kind:            kindOf(j.Kind),
		Resources:       j.Spec.Resources,
		Tasks:           len(j.Tasks),
		Urgent:          j.Urgent,
		Preemptible:     j.Preemptible,
		Idempotent:      j.Spec.Idempotent,
		Submitted:       time.UnixMilli(int64(j.AdmittedAt)),
		DeclaredRunTime: time.Duration(j.Spec.RunMillis) * time.Millisecond,
	}
	if j.Spec.StartBy != 0 {
		job.StartBy = time.UnixMilli(int64(j.Spec.StartBy))
	}
	return job
}

func kindOf(kind note.Kind) sched.Kind {
	switch kind {
	case note.KindBatch:
		return sched.KindBatch
	case note.KindGang:
		return sched.KindGang
	}
	return sched.KindService
}

func (l *leader) setTeams(state *note.State) {
	for _, name := range state.TeamNames() {
		team := state.Teams[name]
		l.engine.SetTeam(sched.Team{
			Name:   name,
			Weight: team.Weight(),
			Limit:  team.Limit,
		})
	}
}
