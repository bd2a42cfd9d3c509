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

// Limits are the limits of a ledger. They must be the same on every replica,
// since the results of commands depend on them.
type Limits struct {
	// RetryWindow is the maximum age of a request id.
	RetryWindow time.Duration
	// Retention is the minimum time for which a finished job is stored.
	Retention time.Duration
	// MaxJobs bounds the stored jobs, finished or not.
	MaxJobs int
	// MaxQueued bounds the queued jobs of a service that sets no bound of its
	// own.
	MaxQueued int
	// MaxTasks bounds the tasks of a job.
	MaxTasks int
	// MaxPayload and MaxOutput bound a job's payload and a task's output,
	// in bytes.
	MaxPayload int
	MaxOutput  int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		RetryWindow: 10 * time.Minute,
		Retention:   15 * time.Minute,
		MaxJobs:     2_000_000,
		MaxQueued:   20_000,
		MaxTasks:    1024,
		MaxPayload:  16 << 10,
		MaxOutput:   64 << 10,
	}
}

// maxClockSkew is how far in the future the time of a request id may be.
const maxClockSkew = time.Minute

// Observer is notified of every change, on the goroutine that applies
// commands. Its methods must not block.
type Observer interface {
	// JobChanged reports a change of a job. before is nil for a new job, and
	// after is nil for a pruned one.
	JobChanged(before, after *Job)
	// TargetChanged reports a change of a target. before is nil for a new
	// session, and after is nil for an ended one.
	TargetChanged(before, after *Target)
	// ConfigChanged reports that a release note has been applied.
	ConfigChanged(n note.Note, state *note.State)
}

// Ledger holds the replicated state. Commands must be applied by a single
// goroutine; queries may run concurrently, except where noted.
type Ledger struct {
	limits      Limits
	retryWindow dedup.Window
	observer    Observer

	jobs     *shard.Map[JobID, *Job]
	requests *shard.Map[RequestKey, JobID]
	targets  *shard.Map[string, *Target]
	config   atomic.Pointer[note.State]

	usageMu sync.RWMutex
	// usage holds the usage of each team, and queuedJobs the number of jobs
	// with queued tasks of each service.
	usage      map[string]Usage
	queuedJobs map[string]int

	// The remaining fields are used only by the goroutine that applies
	// commands. live holds the unfinished jobs.
	now          Millis
	lastJobID    JobID
	live         map[JobID]*Job
	finishedJobs int
	staleEvents  uint64
}

// Option configures a ledger.
type Option func(*Ledger)

// WithObserver sets the observer that is notified of changes.
func WithObserver(o Observer) Option {
	return func(l *Ledger) { l.observer = o }
}

// New returns an empty ledger.
func New(limits Limits, opts ...Option) *Ledger {
	l := &Ledger{
		limits: limits,
		retryWindow: dedup.Window{
			MaxAge:       limits.RetryWindow,
			MaxClockSkew: maxClockSkew,
		},
		observer: noopObserver{},
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
	l.queuedJobs = map[string]int{}
	l.usageMu.Unlock()
	l.now, l.lastJobID, l.finishedJobs, l.staleEvents = 0, 0, 0, 0
	l.live = map[JobID]*Job{}
}

// Apply applies a command and returns its result, such as a SubmitResult for a
// Submit, or nil for a command without one.
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
	case c.EndSession != nil:
		l.endSession(*c.EndSession)
	case c.Report != nil:
		return l.report(*c.Report)
	case c.Note != nil:
		return l.applyNote(*c.Note)
	case c.Prune != nil:
		l.prune(*c.Prune)
	}
	return nil
}

// storeJob stores a changed job. It finishes the job if all its tasks are
// final, updates the usage of its team and notifies the observer. before is
// nil for a new job.
func (l *Ledger) storeJob(before, after *Job) {
	l.finishIfDone(after)
	l.updateUsage(before, after)
	l.jobs.Set(after.ID, after)
	if after.IsFinished() {
		delete(l.live, after.ID)
	} else {
		l.live[after.ID] = after
	}
	if after.IsFinished() && !before.wasFinished() {
		l.finishedJobs++
	}
	l.observer.JobChanged(before, after)
}

// wasFinished reports whether the job is finished. The job may be nil.
func (j *Job) wasFinished() bool {
	return j != nil && j.IsFinished()
}

// finishIfDone sets the outcome of the job once all its tasks are final, and
// drops its payload, which no task needs any more.
func (l *Ledger) finishIfDone(j *Job) {
	if j.IsFinished() {
		return
	}
	for _, t := range j.Tasks {
		if !t.State.Final() {
			return
		}
	}
	j.Outcome = j.computeOutcome()
	j.FinishedAt = l.now
	if j.Reason == ReasonNone {
		j.Reason = j.EndReason
	}
	j.Spec.Payload = nil
}

// updateUsage adjusts the usage of the job's team and the queue length of its
// service.
func (l *Ledger) updateUsage(before, after *Job) {
	l.usageMu.Lock()
	defer l.usageMu.Unlock()
	u := l.usage[after.Team]
	if before != nil {
		u.Resources = u.Resources.Sub(before.Spec.Resources.Times(before.Active()))
		u.Tasks -= before.Active()
		u.Queued -= before.Queued()
	}
	u.Resources = u.Resources.Add(after.Spec.Resources.Times(after.Active()))
	u.Tasks += after.Active()
	u.Queued += after.Queued()
	if hasQueuedTasks(after) != hasQueuedTasks(before) {
		if hasQueuedTasks(after) {
			l.queuedJobs[after.Spec.Service]++
		} else {
			l.queuedJobs[after.Spec.Service]--
		}
	}
	if before == nil {
		u.LiveJobs++
	}
	if after.IsFinished() && !before.wasFinished() {
		u.LiveJobs--
	}
	l.usage[after.Team] = u
}

// hasQueuedTasks reports whether the job counts towards the queue length of
// its service. The job may be nil.
func hasQueuedTasks(j *Job) bool {
	return j != nil && j.Queued() > 0
}

func (l *Ledger) storeTarget(before, after *Target) {
	l.targets.Set(after.ID, after)
	l.observer.TargetChanged(before, after)
}

type noopObserver struct{}

func (noopObserver) JobChanged(_, _ *Job)                 {}
func (noopObserver) TargetChanged(_, _ *Target)           {}
func (noopObserver) ConfigChanged(note.Note, *note.State) {}

// available returns the unused capacity of the target.
func (t *Target) available() quota.Resources {
	return t.Capacity.Sub(t.Used)
}
