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
	// admitTimeout is how long an admission is tried for.
	admitTimeout = 10 * time.Second
	defaultMost  = 100
)

// JobRequest is the body of a submitted job.
type JobRequest struct {
	RequestID   string        `json:"request-id"`
	Service     string        `json:"service"`
	Count       int           `json:"count,omitempty"`
	Room        quota.Room    `json:"room"`
	Idempotent  bool          `json:"idempotent,omitempty"`
	StartWithin note.Duration `json:"start-within,omitempty"`
	RunTime     note.Duration `json:"run-time,omitempty"`
	MaxAttempts int           `json:"max-attempts,omitempty"`
	Payload     []byte        `json:"payload,omitempty"`
}

// JobView is what callers see of a job.
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
	Again     bool       `json:"again,omitempty"`
	Tasks     []TaskView `json:"tasks"`
}

// TaskView is what callers see of a task.
type TaskView struct {
	State    string `json:"state"`
	Attempts uint32 `json:"attempts"`
	ExitCode int    `json:"exit-code,omitempty"`
	Output   []byte `json:"output,omitempty"`
	// Length and Checksum let the caller see that the output is whole.
	Length   int    `json:"length"`
	Checksum string `json:"checksum,omitempty"`
}

type callers struct {
	*guard
}

// Callers returns the handler for those who hand work in.
func Callers(backend Backend, limits Limits) http.Handler {
	c := &callers{guard: newGuard("callers", backend, limits)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", c.submit)
	mux.HandleFunc("GET /v1/jobs", c.list)
	mux.HandleFunc("GET /v1/jobs/{id}", c.get)
	mux.HandleFunc("DELETE /v1/jobs/{id}", c.cancel)
	mux.HandleFunc("/", notFound)
	return c.wrap(mux)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeFault(w, wire.Newf(wire.CodeNotFound, "no such resource"))
}

// caller is who makes a request: a team by its key, or anyone on a service
// that is open to all.
type caller struct {
	scope ledger.Scope
	key   string
}

// authenticate finds the caller. The configuration must be fresh, so that a
// withdrawn key is dead on an instance that is cut off.
func (c *callers) authenticate(r *http.Request, service string) (caller, *wire.Fault) {
	config, fresh := c.backend.Config()
	if !fresh {
		fault := wire.Newf(wire.CodeStale, "this instance has not heard from the leader lately")
		fault.RetryAfter = time.Second
		return caller{}, fault
	}
	shown := bearer(r)
	if shown != "" {
		key, err := config.Authenticate(shown)
		if err != nil {
			return caller{}, wire.Newf(wire.CodeKey, err.Error())
		}
		return caller{
			scope: ledger.TeamScope(key.Team),
			key:   key.ID,
		}, nil
	}
	if config.Services[service].Open {
		return caller{scope: ledger.OpenScope(service)}, nil
	}
	return caller{}, wire.Newf(wire.CodeKey, "a key is needed")
}

func (c *callers) submit(w http.ResponseWriter, r *http.Request) {
	wait, fault := waitOf(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	var body JobRequest
	if fault := c.readBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	who, fault := c.authenticate(r, body.Service)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	submit, fault := submitOf(who, body, time.Now())
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout+wait)
	defer cancel()
	reply, fault := c.backend.Submit(ctx, wire.SubmitArgs{
		Submit: submit,
		Wait:   wait,
	})
	c.answer(w, reply, fault)
}

// submitOf builds the command. The digest covers what the caller asked for,
// so that a request id can't be used again for something else.
func submitOf(who caller, body JobRequest, now time.Time) (ledger.Submit, *wire.Fault) {
	content, err := json.Marshal(body)
	if err != nil {
		return ledger.Submit{}, wire.Newf(wire.CodeBadRequest, err.Error())
	}
	sum := sha256.Sum256(content)
	if body.StartWithin < 0 || body.RunTime < 0 {
		return ledger.Submit{}, wire.Newf(wire.CodeBadRequest, "start-within or run-time: is negative")
	}
	spec := ledger.Spec{
		Service:     body.Service,
		Count:       max(body.Count, 0),
		Room:        body.Room,
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
			Scope: who.scope,
			ID:    body.RequestID,
		},
		Digest: hex.EncodeToString(sum[:]),
		KeyID:  who.key,
		Spec:   spec,
	}, nil
}

func (c *callers) request(r *http.Request) (ledger.RequestKey, *wire.Fault) {
	who, fault := c.authenticate(r, r.URL.Query().Get("service"))
	return ledger.RequestKey{
		Scope: who.scope,
		ID:    r.PathValue("id"),
	}, fault
}

func (c *callers) get(w http.ResponseWriter, r *http.Request) {
	wait, fault := waitOf(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	request, fault := c.request(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout+wait)
	defer cancel()
	reply, fault := c.backend.Wait(ctx, wire.WaitArgs{
		Request: request,
		Wait:    wait,
	})
	c.answer(w, reply, fault)
}

func (c *callers) cancel(w http.ResponseWriter, r *http.Request) {
	request, fault := c.request(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
	defer cancel()
	reply, fault := c.backend.Cancel(ctx, wire.CancelArgs{Request: request})
	c.answer(w, reply, fault)
}

func (c *callers) list(w http.ResponseWriter, r *http.Request) {
	request, fault := c.request(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	listJobs(c.backend, w, r, request.Scope)
}

func listJobs(backend Backend, w http.ResponseWriter, r *http.Request, scope ledger.Scope) {
	most := defaultMost
	if text := r.URL.Query().Get("most"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 {
			writeFault(w, wire.Newf(wire.CodeBadRequest, "most: is not a positive number"))
			return
		}
		most = number
	}
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
	defer cancel()
	reply, fault := backend.List(ctx, wire.ListArgs{
		Scope: scope,
		Live:  r.URL.Query().Get("live") == "true",
		Most:  most,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	views := make([]JobView, 0, len(reply.Jobs))
	for _, job := range reply.Jobs {
		views = append(views, viewOf(job, false))
	}
	writeJSON(w, http.StatusOK, struct {
		Jobs []JobView `json:"jobs"`
	}{Jobs: views})
}

// answer writes the job: 200 once it is over, 202 before.
func (c *callers) answer(w http.ResponseWriter, reply wire.JobReply, fault *wire.Fault) {
	if fault != nil {
		writeFault(w, fault)
		return
	}
	status := http.StatusAccepted
	if reply.Job.Over() {
		status = http.StatusOK
	}
	writeJSON(w, status, viewOf(reply.Job, reply.Again))
}

func viewOf(job *ledger.Job, again bool) JobView {
	view := JobView{
		RequestID: job.Request.ID,
		Service:   job.Spec.Service,
		Team:      job.Team,
		State:     "queued",
		Outcome:   string(job.Outcome),
		Reason:    string(job.Reason),
		Detail:    job.Detail,
		Admitted:  time.UnixMilli(int64(job.Admitted)).UTC(),
		Again:     again,
		Tasks:     make([]TaskView, 0, len(job.Tasks)),
	}
	if job.Active() > 0 {
		view.State = "running"
	}
	if job.Over() {
		finished := time.UnixMilli(int64(job.Finished)).UTC()
		view.State = "over"
		view.Finished = &finished
	}
	for _, task := range job.Tasks {
		view.Tasks = append(view.Tasks, TaskView{
			State:    stateName(task.State),
			Attempts: task.Attempt,
			ExitCode: task.ExitCode,
			Output:   task.Output,
			Length:   len(task.Output),
			Checksum: task.Checksum,
		})
	}
	return view
}

func stateName(state ledger.TaskState) string {
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
