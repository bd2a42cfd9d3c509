package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/shard"
)

// Bounds are the stated limits of a ledger. They must be the same on every
// replica.
type Bounds struct {
	// RetryWindow is how old a request id may be.
	RetryWindow time.Duration
	// Retention is how long an answer is kept at least.
	Retention time.Duration
	// MaxKept bounds the finished jobs that are kept.
	MaxKept int
	// MaxQueued bounds the queued jobs of a service that states no bound.
	MaxQueued int
	// MaxTasks bounds the tasks of a job.
	MaxTasks int
	// MaxPayload and MaxOutput bound a job's payload and a task's output,
	// in bytes.
	MaxPayload int
	MaxOutput  int
}

// DefaultBounds returns the bounds that a cell starts with.
func DefaultBounds() Bounds {
	return Bounds{
		RetryWindow: 10 * time.Minute,
		Retention:   15 * time.Minute,
		MaxKept:     2_000_000,
		MaxQueued:   20_000,
		MaxTasks:    1024,
		MaxPayload:  16 << 10,
		MaxOutput:   64 << 10,
	}
}

const requestAhead = time.Minute

// Observer is told of every change, by the goroutine that applies. It must
// return soon.
type Observer interface {
	// JobChanged is called with before nil for a new job, and after nil for
	// a forgotten one.
	JobChanged(before, after *Job)
	// TargetChanged is called with before nil for a new session, and after
	// nil for an ended one.
	TargetChanged(before, after *Target)
	// ConfigChanged is called when a release note has come into force.
	ConfigChanged(n note.Note, state *note.State)
}

// Ledger holds the state. One goroutine applies commands; any may query.
type Ledger struct {
	bounds   Bounds
	window   dedup.Window
	observer Observer

	jobs     *shard.Map[JobID, *Job]
	requests *shard.Map[RequestKey, JobID]
	targets  *shard.Map[string, *Target]
	config   atomic.Pointer[note.State]

	usageMu sync.RWMutex
	usage   map[string]Usage
	queued  map[string]int

	// The rest belongs to the goroutine that applies.
	now     Millis
	lastJob JobID
	live    map[JobID]*Job
	kept    int
	late    uint64
}

// Option changes how a ledger is made.
type Option func(*Ledger)

// WithObserver sets who is told of changes.
func WithObserver(o Observer) Option {
	return func(l *Ledger) { l.observer = o }
}

// New returns an empty ledger.
func New(bounds Bounds, opts ...Option) *Ledger {
	l := &Ledger{
		bounds: bounds,
		window: dedup.Window{
			Past:  bounds.RetryWindow,
			Ahead: requestAhead,
		},
		observer: silent{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.jobs = shard.NewMap[JobID, *Job]()
	l.requests = shard.NewMap[RequestKey, JobID]()
	l.targets = shard.NewMap[string, *Target]()
	l.config.Store(note.NewState())
	l.usageMu.Lock()
	l.usage = map[string]Usage{}
	l.queued = map[string]int{}
	l.usageMu.Unlock()
	l.now, l.lastJob, l.kept, l.late = 0, 0, 0, 0
	l.live = map[JobID]*Job{}
}

// Apply applies a command and returns its typed result, such as a
// SubmitResult for a Submit.
func (l *Ledger) Apply(c Command) any {
	l.now = max(l.now, c.Time)
	switch {
	case c.Submit != nil:
		return l.submit(*c.Submit)
	case c.Cancel != nil:
		return l.cancel(*c.Cancel)
	case c.Place != nil:
		return l.place(*c.Place)
	case c.End != nil:
		l.end(*c.End)
	case c.Stop != nil:
		l.stop(*c.Stop)
	case c.Announce != nil:
		return l.announce(*c.Announce)
	case c.Leave != nil:
		return l.leave(*c.Leave)
	case c.Session != nil:
		l.endSession(*c.Session)
	case c.Report != nil:
		return l.report(*c.Report)
	case c.Note != nil:
		return l.applyNote(*c.Note)
	case c.Prune != nil:
		l.prune(*c.Prune)
	}
	return nil
}

// store keeps the changed job, counts what it means for its team, ends it
// when its tasks are over, and tells the observer.
func (l *Ledger) store(before, after *Job) {
	l.settle(after)
	l.count(before, after)
	l.jobs.Set(after.ID, after)
	if after.Over() {
		delete(l.live, after.ID)
	} else {
		l.live[after.ID] = after
	}
	if after.Over() && !before.over() {
		l.kept++
	}
	l.observer.JobChanged(before, after)
}

func (j *Job) over() bool {
	return j != nil && j.Over()
}

// settle gives the job its outcome once every task is final.
func (l *Ledger) settle(j *Job) {
	if j.Over() {
		return
	}
	for _, t := range j.Tasks {
		if !t.State.Final() {
			return
		}
	}
	j.Outcome = j.outcome()
	j.Finished = l.now
	if j.Reason == ReasonNone {
		j.Reason = j.Ending
	}
	j.Spec.Payload = nil
}

func (l *Ledger) count(before, after *Job) {
	l.usageMu.Lock()
	defer l.usageMu.Unlock()
	u := l.usage[after.Team]
	if before != nil {
		u.Running = u.Running.Sub(before.Spec.Room.Times(before.Active()))
		u.Tasks -= before.Active()
		u.Queued -= before.Queued()
	}
	u.Running = u.Running.Add(after.Spec.Room.Times(after.Active()))
	u.Tasks += after.Active()
	u.Queued += after.Queued()
	if waiting(after) != waiting(before) {
		if waiting(after) {
			l.queued[after.Spec.Service]++
		} else {
			l.queued[after.Spec.Service]--
		}
	}
	if before == nil {
		u.Live++
	}
	if after.Over() && !before.over() {
		u.Live--
	}
	l.usage[after.Team] = u
}

// waiting tells whether the job counts against its service's queue.
func waiting(j *Job) bool {
	return j != nil && j.Queued() > 0
}

func (l *Ledger) storeTarget(before, after *Target) {
	l.targets.Set(after.ID, after)
	l.observer.TargetChanged(before, after)
}

type silent struct{}

func (silent) JobChanged(_, _ *Job)                 {}
func (silent) TargetChanged(_, _ *Target)           {}
func (silent) ConfigChanged(note.Note, *note.State) {}

// free returns the room left on a target.
func (t *Target) free() quota.Room {
	return t.Capacity.Sub(t.Used)
}
