package ledger

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
)

const (
	defaultAttempts = 3
	maxAttempts     = 100
	maxAmount       = 1 << 40
	openScope       = "open/"
	teamScope       = "team/"
)

// TeamScope returns the scope of callers that show a key of the team.
func TeamScope(team string) Scope {
	return Scope(teamScope + team)
}

// OpenScope returns the scope of callers without a key on an open service.
func OpenScope(service string) Scope {
	return Scope(openScope + service)
}

func (l *Ledger) submit(s Submit) SubmitResult {
	if id, ok := l.requests.Get(s.Request); ok {
		return l.submitAgain(id, s)
	}
	if refusal := l.checkRequestID(s.Request.ID); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	config := l.config.Load()
	service, ok := config.Services[s.Spec.Service]
	if !ok {
		return SubmitResult{Refusal: RefusedService}
	}
	if refusal := checkCaller(config, service, s); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	if detail := l.checkSpec(service, s.Spec); detail != "" {
		return SubmitResult{
			Refusal: RefusedSpec,
			Detail:  detail,
		}
	}
	if refusal := l.checkQueue(service); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	job := l.newJob(service, s)
	l.requests.Set(s.Request, job.ID)
	l.store(nil, job)
	return SubmitResult{Job: job.ID}
}

func (l *Ledger) submitAgain(id JobID, s Submit) SubmitResult {
	job, _ := l.jobs.Get(id)
	if job.Digest != s.Digest {
		return SubmitResult{Refusal: RefusedReuse}
	}
	return SubmitResult{
		Job:   id,
		Again: true,
	}
}

func (l *Ledger) checkRequestID(id string) Refusal {
	err := l.window.Check(id, l.now.time())
	switch {
	case err == nil:
		return ""
	case errors.Is(err, dedup.ErrTooOld):
		return RefusedTooOld
	case errors.Is(err, dedup.ErrAhead):
		return RefusedAhead
	}
	return RefusedBadID
}

// checkCaller sees that the work is for the team whose key came with it, or
// that the service is open to all.
func checkCaller(config *note.State, service note.Service, s Submit) Refusal {
	if s.KeyID == "" {
		if service.Open && s.Request.Scope == OpenScope(service.Name) {
			return ""
		}
		return RefusedKey
	}
	key, ok := config.Keys[s.KeyID]
	if !ok {
		return RefusedKey
	}
	if s.Request.Scope != TeamScope(key.Team) {
		return RefusedPermission
	}
	if service.Team != key.Team && !service.Open {
		return RefusedPermission
	}
	return ""
}

func (l *Ledger) checkSpec(service note.Service, spec Spec) string {
	amounts := max(int64(spec.Room.CPU), int64(spec.Room.Memory), spec.Room.Accelerators)
	switch {
	case spec.Count < 1 || spec.Count > l.bounds.MaxTasks:
		return fmt.Sprintf("count is not between 1 and %d", l.bounds.MaxTasks)
	case !spec.Room.Valid() || amounts > maxAmount || spec.Room.IsZero():
		return "room is zero, negative or absurd"
	case spec.RunMillis < 0:
		return "run time is negative"
	case spec.MaxAttempts < 0 || spec.MaxAttempts > maxAttempts:
		return fmt.Sprintf("max-attempts is not between 0 and %d", maxAttempts)
	case len(spec.Payload) > l.bounds.MaxPayload:
		return fmt.Sprintf("payload is larger than %d bytes", l.bounds.MaxPayload)
	case spec.StartBy != 0 && spec.StartBy <= l.now:
		return "start-by has passed"
	case service.Kind == note.KindGang && !spec.Idempotent && spec.MaxAttempts > 1:
		return "non-idempotent work has one attempt"
	}
	return ""
}

func (l *Ledger) checkQueue(service note.Service) Refusal {
	bound := service.MaxQueued
	if bound == 0 {
		bound = l.bounds.MaxQueued
	}
	l.usageMu.RLock()
	queued := l.queued[service.Name]
	l.usageMu.RUnlock()
	if queued >= bound {
		return RefusedQueueFull
	}
	if l.kept+len(l.live) >= l.bounds.MaxKept {
		return RefusedRetained
	}
	return ""
}

func (l *Ledger) newJob(service note.Service, s Submit) *Job {
	l.lastJob++
	spec := s.Spec
	if spec.StartBy == 0 && service.StartWithin > 0 {
		spec.StartBy = l.now + Millis(time.Duration(service.StartWithin).Milliseconds())
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = defaultAttempts
	}
	tasks := make([]Task, spec.Count)
	for i := range tasks {
		tasks[i].State = TaskQueued
	}
	return &Job{
		ID:       l.lastJob,
		Request:  s.Request,
		Digest:   s.Digest,
		Team:     service.Team,
		KeyID:    s.KeyID,
		Kind:     service.Kind,
		Spec:     spec,
		Urgent:   service.Urgent,
		Preempt:  service.Preemptible,
		Admitted: l.now,
		Tasks:    tasks,
	}
}

func (m Millis) time() time.Time {
	return time.UnixMilli(int64(m))
}
