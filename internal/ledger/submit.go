package ledger

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
)

const (
	defaultMaxAttempts = 3
	maxAttempts        = 100
	// maxResourceAmount bounds each declared resource of a task, in milli-CPU,
	// MiB or accelerators.
	maxResourceAmount = 1 << 40
	openScopePrefix   = "open/"
	teamScopePrefix   = "team/"
)

// TeamScope returns the scope of callers with an API key of the team.
func TeamScope(team string) Scope {
	return Scope(teamScopePrefix + team)
}

// OpenScope returns the scope of callers that use an open service without an
// API key.
func OpenScope(service string) Scope {
	return Scope(openScopePrefix + service)
}

func (l *Ledger) submit(s Submit) SubmitResult {
	if id, ok := l.requests.Get(s.Request); ok {
		return l.submitDuplicate(id, s)
	}
	if refusal := l.checkRequestID(s.Request.ID); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	config := l.config.Load()
	service, ok := config.Services[s.Spec.Service]
	if !ok {
		return SubmitResult{Refusal: RefusedNoService}
	}
	if refusal := checkCaller(config, service, s); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	if detail := l.checkSpec(service, s.Spec); detail != "" {
		return SubmitResult{
			Refusal: RefusedInvalidSpec,
			Detail:  detail,
		}
	}
	if refusal := l.checkQueue(service); refusal != "" {
		return SubmitResult{Refusal: refusal}
	}
	job := l.newJob(service, s)
	l.requests.Set(s.Request, job.ID)
	l.storeJob(nil, job)
	return SubmitResult{Job: job.ID}
}

// submitDuplicate handles a request id that has been admitted before. The same
// content is a retry and gets the same job; other content is refused.
func (l *Ledger) submitDuplicate(id JobID, s Submit) SubmitResult {
	job, _ := l.jobs.Get(id)
	if job.Digest != s.Digest {
		return SubmitResult{Refusal: RefusedIDReused}
	}
	return SubmitResult{
		Job:       id,
		Duplicate: true,
	}
}

func (l *Ledger) checkRequestID(id string) Refusal {
	err := l.retryWindow.Check(id, l.now.time())
	switch {
	case err == nil:
		return ""
	case errors.Is(err, dedup.ErrTooOld):
		return RefusedIDTooOld
	case errors.Is(err, dedup.ErrInFuture):
		return RefusedIDInFuture
	}
	return RefusedBadID
}

// checkCaller checks that the caller may submit to the service: with a key of
// the service's team, or to an open service with any key or none.
func checkCaller(config *note.State, service note.Service, s Submit) Refusal {
	if s.KeyID == "" {
		if service.Open && s.Request.Scope == OpenScope(service.Name) {
			return ""
		}
		return RefusedInvalidKey
	}
	key, ok := config.Keys[s.KeyID]
	if !ok {
		return RefusedInvalidKey
	}
	if s.Request.Scope != TeamScope(key.Team) {
		return RefusedNotPermitted
	}
	if service.Team != key.Team && !service.Open {
		return RefusedNotPermitted
	}
	return ""
}

// checkSpec returns what is wrong with the job specification, or "".
func (l *Ledger) checkSpec(service note.Service, spec Spec) string {
	largest := max(int64(spec.Resources.CPU), int64(spec.Resources.Memory), spec.Resources.Accelerators)
	switch {
	case spec.Count < 1 || spec.Count > l.limits.MaxTasks:
		return fmt.Sprintf("count is not between 1 and %d", l.limits.MaxTasks)
	case !spec.Resources.IsValid() || largest > maxResourceAmount || spec.Resources.IsZero():
		return "room is zero, negative or absurd"
	case spec.RunMillis < 0:
		return "run time is negative"
	case spec.MaxAttempts < 0 || spec.MaxAttempts > maxAttempts:
		return fmt.Sprintf("max-attempts is not between 0 and %d", maxAttempts)
	case len(spec.Payload) > l.limits.MaxPayload:
		return fmt.Sprintf("payload is larger than %d bytes", l.limits.MaxPayload)
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
		bound = l.limits.MaxQueued
	}
	l.usageMu.RLock()
	queued := l.queuedJobs[service.Name]
	l.usageMu.RUnlock()
	if queued >= bound {
		return RefusedQueueFull
	}
	if l.finishedJobs+len(l.live) >= l.limits.MaxJobs {
		return RefusedTooManyJobs
	}
	return ""
}

func (l *Ledger) newJob(service note.Service, s Submit) *Job {
	l.lastJobID++
	spec := s.Spec
	if spec.StartBy == 0 && service.StartWithin > 0 {
		spec.StartBy = l.now + Millis(time.Duration(service.StartWithin).Milliseconds())
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = defaultMaxAttempts
	}
	tasks := make([]Task, spec.Count)
	for i := range tasks {
		tasks[i].State = TaskQueued
	}
	return &Job{
		ID:          l.lastJobID,
		Request:     s.Request,
		Digest:      s.Digest,
		Team:        service.Team,
		KeyID:       s.KeyID,
		Kind:        service.Kind,
		Spec:        spec,
		Urgent:      service.Urgent,
		Preemptible: service.Preemptible,
		AdmittedAt:  l.now,
		Tasks:       tasks,
	}
}

func (m Millis) time() time.Time {
	return time.UnixMilli(int64(m))
}
