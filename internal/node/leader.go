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
	keptNotes      = 1000
)

// sessionKey names a session of a target.
type sessionKey struct {
	target  string
	session string
}

// leader is what an instance does only while it leads: it grants leases,
// decides, and watches times. All of it is rebuilt from the ledger.
type leader struct {
	node    *Node
	term    uint64
	engine  *sched.Engine
	granter *lease.Granter[sessionKey]
	boxes   *shard.Map[string, *signal]
	waiters *shard.Map[ledger.JobID, *signal]
	wake    chan struct{}

	mu        sync.Mutex
	notes     []note.Note
	noteUp    *signal
	instances map[string]instanceSeen
	deadlines *timeline[ledger.JobID]
	gangs     *timeline[ledger.JobID]
	drains    *timeline[sessionKey]
	finished  []ledger.JobID
	ending    map[sessionKey]bool
	// superseded sessions are those a target has announced itself anew over.
	superseded map[sessionKey]bool
	released   bool

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// instanceSeen is what the leader knows of an instance that follows it.
type instanceSeen struct {
	status wire.InstanceStatus
	at     time.Time
}

// newLeader rebuilds the leader's part. It runs on the goroutine that
// applies, so that nothing changes meanwhile.
func newLeader(n *Node, term uint64) *leader {
	ctx, cancel := context.WithCancel(n.ctx)
	opts := append([]sched.Option{sched.WithGrace(n.cfg.Timing.Grace)}, n.engine...)
	l := &leader{
		node:       n,
		term:       term,
		engine:     sched.NewEngine(opts...),
		granter:    lease.NewGranter[sessionKey](n.cfg.Timing.Lease),
		boxes:      shard.NewMap[string, *signal](),
		waiters:    shard.NewMap[ledger.JobID, *signal](),
		wake:       make(chan struct{}, 1),
		noteUp:     newSignal(),
		instances:  map[string]instanceSeen{},
		deadlines:  &timeline[ledger.JobID]{},
		gangs:      &timeline[ledger.JobID]{},
		drains:     &timeline[sessionKey]{},
		ending:     map[sessionKey]bool{},
		superseded: map[sessionKey]bool{},
		ctx:        ctx,
		cancel:     cancel,
	}
	l.rebuild()
	return l
}

// rebuild tells the engine of all there is. Every session gets a whole lease
// from now on, as an earlier leader may have granted one just before.
func (l *leader) rebuild() {
	now := time.Now()
	l.setTeams(l.node.ledger.Config())
	for _, target := range l.node.ledger.Targets() {
		l.granter.Grant(keyOf(target), now)
		l.engine.SetWorker(workerOf(target))
		if target.Leaving {
			l.engine.CloseWorker(target.ID)
			l.drains.add(keyOf(target), now.Add(l.node.cfg.Timing.DrainAfter))
		}
	}
	for _, job := range l.node.ledger.Live() {
		l.adopt(job, now)
	}
	l.finished = l.node.ledger.Finished()
}

func (l *leader) adopt(job *ledger.Job, now time.Time) {
	l.watchTimes(job)
	l.engine.Adopt(jobOf(job))
	for i, task := range job.Tasks {
		switch {
		case task.State.Active():
			l.engine.Placed(sched.JobID(job.ID), i, task.Attempt, task.Target, now)
		case task.State == ledger.TaskQueued:
			l.engine.Requeue(sched.JobID(job.ID), i, task.Attempt, now)
		}
	}
}

func (l *leader) start() {
	l.done.Go(l.schedule)
	l.done.Go(l.upkeep)
	l.done.Go(l.keepVoters)
}

// stop ends the leader's part. Waiting calls return at once.
func (l *leader) stop() {
	l.cancel()
	l.done.Wait()
}

// release ends waiting calls with what is known, before a planned stop.
func (l *leader) release() {
	l.mu.Lock()
	l.released = true
	l.mu.Unlock()
	l.boxes.Each(func(_ string, s *signal) bool {
		s.raise()
		return true
	})
	l.waiters.Each(func(_ ledger.JobID, s *signal) bool {
		s.raise()
		return true
	})
	l.noteUp.raise()
}

func (l *leader) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// propose commits a command under the leader's clock.
func (l *leader) propose(ctx context.Context, c ledger.Command) (any, *wire.Fault) {
	replica := l.node.replica.Load()
	c.Time = ledger.Millis(time.Now().UnixMilli())
	data, err := c.Encode()
	if err != nil {
		return nil, wire.Newf(wire.CodeInternal, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := replica.Propose(ctx, data)
	if err != nil {
		return nil, l.node.faultOf(err)
	}
	if failed, ok := value.(error); ok {
		return nil, wire.Newf(wire.CodeInternal, failed.Error())
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
		ID:          sched.JobID(j.ID),
		Team:        j.Team,
		Service:     j.Spec.Service,
		Kind:        kindOf(j.Kind),
		Room:        j.Spec.Room,
		Tasks:       len(j.Tasks),
		Urgent:      j.Urgent,
		Preemptible: j.Preempt,
		Idempotent:  j.Spec.Idempotent,
		Submitted:   time.UnixMilli(int64(j.Admitted)),
		Run:         time.Duration(j.Spec.RunMillis) * time.Millisecond,
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
