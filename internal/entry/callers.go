package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	// requestTimeout bounds the handling of a request, in addition to the wait
	// that the client asks for.
	requestTimeout = 10 * time.Second
	// defaultListLimit is the number of jobs listed if the client sets no limit.
	defaultListLimit = 100
)

// JobRequest is the request body of a job submission.
type JobRequest struct {
	RequestID   string          `json:"request-id"`
	Service     string          `json:"service"`
	Count       int             `json:"count,omitempty"`
	Resources   quota.Resources `json:"room"`
	Idempotent  bool            `json:"idempotent,omitempty"`
	StartWithin note.Duration   `json:"start-within,omitempty"`
	RunTime     note.Duration   `json:"run-time,omitempty"`
	MaxAttempts int             `json:"max-attempts,omitempty"`
	Payload     []byte          `json:"payload,omitempty"`
}

// JobView is the representation of a job in responses.
type JobView struct {
	RequestID string     `json:"request-id"`
	Service   string     `json:"service"`
	Team      string     `json:"team"`
	State     string     `json:"state"`
	Outcome   string     `json:"outcome,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	Detail    string     `json:"detail,omitempty"`
	Admitted  time.Time  `json:"admitted"`
	Finished  *time.Time `json:"finished,omitempty"`
	// Duplicate is set when the request id had been submitted before.
	Duplicate bool       `json:"again,omitempty"`
	Tasks     []TaskView `json:"tasks"`
}

// TaskView is the representation of a task in responses.
type TaskView struct {
	State    string `json:"state"`
	Attempts uint32 `json:"attempts"`
	ExitCode int    `json:"exit-code,omitempty"`
	Output   []byte `json:"output,omitempty"`
	// Length and Checksum let the client verify that the output is complete.
	Length   int    `json:"length"`
	Checksum string `json:"checksum,omitempty"`
}

type callersHandler struct {
	*baseHandler
}

// NewCallersHandler returns the handler of the API on which jobs are submitted.
func NewCallersHandler(backend Backend, limits Limits, opts ...Option) http.Handler {
	c := &callersHandler{baseHandler: newBaseHandler("callers", backend, limits, opts)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", c.submit)
	mux.HandleFunc("GET /v1/jobs", c.list)
	mux.HandleFunc("GET /v1/jobs/{id}", c.get)
	mux.HandleFunc("DELETE /v1/jobs/{id}", c.cancel)
	mux.HandleFunc("/", notFound)
	return c.wrap(mux)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeFault(w, wire.NewFault(wire.CodeNotFound, "no such resource"))
}

// principal identifies the sender of a request: a team, authenticated by an API
// key, or an anonymous client of an open service.
type principal struct {
	scope ledger.Scope
	keyID string
}

// authenticate returns the principal of the request. It fails unless the
// configuration is fresh, so that an instance that is partitioned from the
// leader does not accept withdrawn keys.
func (c *callersHandler) authenticate(r *http.Request, service string) (principal, *wire.Fault) {
	config, fresh := c.backend.Config()
	if !fresh {
		fault := wire.NewFault(wire.CodeStaleConfiguration, "this instance has not heard from the leader lately")
		fault.RetryAfter = time.Second
		return principal{}, fault
	}
	token := bearerToken(r)
	if token != "" {
		key, err := config.Authenticate(token)
		if err != nil {
			return principal{}, wire.NewFault(wire.CodeInvalidKey, err.Error())
		}
		return principal{
			scope: ledger.TeamScope(key.Team),
			keyID: key.ID,
		}, nil
	}
	if config.Services[service].Open {
		return principal{scope: ledger.OpenScope(service)}, nil
	}
	return principal{}, wire.NewFault(wire.CodeInvalidKey, "a key is needed")
}

func (c *callersHandler) submit(w http.ResponseWriter, r *http.Request) {
	wait, fault := parseWait(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	received, fault := c.receive(w, r, bearerToken(r))
	if fault != nil {
		writeFault(w, fault)
		return
	}
	defer received.Release()
	var body JobRequest
	if fault := decodeJSON(received.Data, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	// A small job may wait for its outcome for long, which the limit of requests bounds.
	// A large one stays counted while it is in a call to the leader.
	received.Data = nil
	received.ReleaseSmall()
	sender, fault := c.authenticate(r, body.Service)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	submit, fault := newSubmit(sender, body, time.Now())
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout+wait)
	defer cancel()
	reply, fault := c.backend.Submit(ctx, wire.SubmitArgs{
		Submit: submit,
		Wait:   wait,
	})
	c.writeJob(w, reply, fault)
}

// newSubmit builds the ledger command. Its digest covers the whole request body,
// so that a request id cannot be reused for a different job.
func newSubmit(sender principal, body JobRequest, now time.Time) (ledger.Submit, *wire.Fault) {
	content, err := json.Marshal(body)
	if err != nil {
		return ledger.Submit{}, wire.NewFault(wire.CodeBadRequest, err.Error())
	}
	sum := sha256.Sum256(content)
	if body.StartWithin < 0 || body.RunTime < 0 {
		return ledger.Submit{}, wire.NewFault(wire.CodeBadRequest, "start-within or run-time: is negative")
	}
	spec := ledger.Spec{
		Service:     body.Service,
		Count:       max(body.Count, 0),
		Resources:   body.Resources,
		Idempotent:  body.Idempotent,
		RunMillis:   time.Duration(body.RunTime).Milliseconds(),
		MaxAttempts: body.MaxAttempts,
		Payload:     body.Payload,
	}
	if body.Count == 0 {
		spec.Count = 1
	}
	if body.StartWithin > 0 {
		spec.StartBy = ledger.Millis(now.Add(time.Duration(body.StartWithin)).UnixMilli())
	}
	return ledger.Submit{
		Request: ledger.RequestKey{
			Scope: sender.scope,
			ID:    body.RequestID,
		},
		Digest: hex.EncodeToString(sum[:]),
		KeyID:  sender.keyID,
		Spec:   spec,
	}, nil
}

func (c *callersHandler) requestKey(r *http.Request) (ledger.RequestKey, *wire.Fault) {
	sender, fault := c.authenticate(r, r.URL.Query().Get("service"))
	return ledger.RequestKey{
		Scope: sender.scope,
		ID:    r.PathValue("id"),
	}, fault
}

func (c *callersHandler) get(w http.ResponseWriter, r *http.Request) {
	wait, fault := parseWait(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	request, fault := c.requestKey(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout+wait)
	defer cancel()
	reply, fault := c.backend.Wait(ctx, wire.WaitArgs{
		Request: request,
		Wait:    wait,
	})
	c.writeJob(w, reply, fault)
}

func (c *callersHandler) cancel(w http.ResponseWriter, r *http.Request) {
	request, fault := c.requestKey(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, fault := c.backend.Cancel(ctx, wire.CancelArgs{Request: request})
	c.writeJob(w, reply, fault)
}

func (c *callersHandler) list(w http.ResponseWriter, r *http.Request) {
	request, fault := c.requestKey(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	listJobs(c.backend, w, r, request.Scope)
}

func listJobs(backend Backend, w http.ResponseWriter, r *http.Request, scope ledger.Scope) {
	limit := defaultListLimit
	if text := r.URL.Query().Get("most"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 {
			writeFault(w, wire.NewFault(wire.CodeBadRequest, "most: is not a positive number"))
			return
		}
		limit = number
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, fault := backend.List(ctx, wire.ListArgs{
		Scope:    scope,
		LiveOnly: r.URL.Query().Get("live") == "true",
		Limit:    limit,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	views := make([]JobView, 0, len(reply.Jobs))
	for _, job := range reply.Jobs {
		views = append(views, newJobView(job, false))
	}
	writeJSON(w, http.StatusOK, struct {
		Jobs []JobView `json:"jobs"`
	}{Jobs: views})
}

// writeJob responds with the job, with status 200 if it is over and 202 if not.
func (c *callersHandler) writeJob(w http.ResponseWriter, reply wire.JobReply, fault *wire.Fault) {
	if fault != nil {
		writeFault(w, fault)
		return
	}
	status := http.StatusAccepted
	if reply.Job.IsFinished() {
		status = http.StatusOK
	}
	writeJSON(w, status, newJobView(reply.Job, reply.Duplicate))
}

func newJobView(job *ledger.Job, duplicate bool) JobView {
	view := JobView{
		RequestID: job.Request.ID,
		Service:   job.Spec.Service,
		Team:      job.Team,
		State:     "queued",
		Outcome:   string(job.Outcome),
		Reason:    string(job.Reason),
		Detail:    job.Detail,
		Admitted:  time.UnixMilli(int64(job.AdmittedAt)).UTC(),
		Duplicate: duplicate,
		Tasks:     make([]TaskView, 0, len(job.Tasks)),
	}
	if job.Active() > 0 {
		view.State = "running"
	}
	if job.IsFinished() {
		finished := time.UnixMilli(int64(job.FinishedAt)).UTC()
		view.State = "over"
		view.Finished = &finished
	}
	for _, task := range job.Tasks {
		view.Tasks = append(view.Tasks, TaskView{
			State:    taskStateName(task.State),
			Attempts: task.Attempt,
			ExitCode: task.ExitCode,
			Output:   task.Output,
			Length:   len(task.Output),
			Checksum: task.Checksum,
		})
	}
	return view
}

func taskStateName(state ledger.TaskState) string {
	switch state {
	case ledger.TaskQueued:
		return "queued"
	case ledger.TaskPlaced:
		return "placed"
	case ledger.TaskHeld:
		return "held"
	case ledger.TaskRunning:
		return "running"
	case ledger.TaskSucceeded:
		return "succeeded"
	case ledger.TaskFailed:
		return "failed"
	case ledger.TaskStopped:
		return "stopped"
	case ledger.TaskNotRun:
		return "not-run"
	case ledger.TaskUnknown:
		return "unknown"
	}
	return "none"
}
