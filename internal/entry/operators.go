package entry

import (
	"context"
	"net/http"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// NoteResponse holds the active configuration and the instances that lack it.
type NoteResponse struct {
	InForce *note.State       `json:"in-force"`
	Diff    []note.Difference `json:"diff,omitempty"`
	// Lagging names the live instances that have an older configuration.
	Lagging []string `json:"behind"`
}

// CellResponse is the state of the cell.
type CellResponse struct {
	Cell         string                `json:"cell"`
	Leader       string                `json:"leader"`
	Term         uint64                `json:"term"`
	CommitIndex  uint64                `json:"commit"`
	WaitingTasks int                   `json:"tasks-waiting"`
	RunningTasks int                   `json:"tasks-running"`
	Packing      float64               `json:"packing"`
	Instances    []wire.InstanceStatus `json:"instances"`
	Members      []raft.Member         `json:"members"`
	Teams        []wire.TeamStatus     `json:"teams"`
	Targets      []TargetView          `json:"targets"`
}

// TargetView is the representation of a target in responses.
type TargetView struct {
	ID            string `json:"id"`
	Session       string `json:"session"`
	Domain        string `json:"domain"`
	Rack          string `json:"rack"`
	Slots         int    `json:"slots"`
	Running       int    `json:"running"`
	Leaving       bool   `json:"leaving"`
	Quarantined   bool   `json:"quarantined"`
	MilliCPU      int64  `json:"milli-cpu"`
	MilliCPUUsed  int64  `json:"milli-cpu-used"`
	MemoryMiB     int64  `json:"memory-mib"`
	MemoryMiBUsed int64  `json:"memory-mib-used"`
}

type operatorsHandler struct {
	*baseHandler
}

// NewOperatorsHandler returns the handler of the operators' API. It also serves
// /healthz, /readyz and /metrics to the platform, which needs no token for them.
func NewOperatorsHandler(backend Backend, limits Limits, token string, opts ...Option) http.Handler {
	o := &operatorsHandler{baseHandler: newBaseHandler("operators", backend, limits, opts)}
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/notes", o.applyNote)
	api.HandleFunc("GET /v1/notes", o.activeConfig)
	api.HandleFunc("GET /v1/cell", o.cell)
	api.HandleFunc("GET /v1/jobs", o.jobs)
	api.HandleFunc("POST /v1/targets/{target}/drain", o.drainTarget)
	api.HandleFunc("DELETE /v1/instances/{name}", o.removeInstance)
	api.HandleFunc("/", notFound)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", o.health)
	mux.HandleFunc("GET /readyz", o.ready)
	mux.Handle("GET /metrics", backend.Metrics().Handler())
	mux.Handle("/", requireToken(token, api))
	return o.wrap(mux)
}

func (o *operatorsHandler) applyNote(w http.ResponseWriter, r *http.Request) {
	wait, fault := parseWait(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	var body note.Note
	if fault := o.decodeBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout+wait)
	defer cancel()
	reply, fault := o.backend.ApplyNote(ctx, wire.NoteArgs{
		Note:   body,
		DryRun: r.URL.Query().Get("check") == "true",
		Wait:   wait,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, NoteResponse{
		InForce: reply.State,
		Diff:    reply.Diff,
		Lagging: append([]string{}, reply.Lagging...),
	})
}

// activeConfig responds with the configuration of this instance, and the
// instances that do not have it yet according to the leader.
func (o *operatorsHandler) activeConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	config, fresh := o.backend.Config()
	if !fresh {
		writeFault(w, wire.NewFault(wire.CodeStaleConfiguration, "this instance has not heard from the leader lately"))
		return
	}
	lagging := []string{}
	for _, instance := range status.Instances {
		if instance.NoteNumber < config.Number {
			lagging = append(lagging, instance.Name)
		}
	}
	writeJSON(w, http.StatusOK, NoteResponse{
		InForce: config,
		Lagging: lagging,
	})
}

func (o *operatorsHandler) cell(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, CellResponse{
		Cell:         status.Cell,
		Leader:       status.Leader,
		Term:         status.Term,
		CommitIndex:  status.CommitIndex,
		WaitingTasks: status.WaitingTasks,
		RunningTasks: status.RunningTasks,
		Packing:      status.Packing,
		Instances:    status.Instances,
		Members:      status.Members,
		Teams:        status.Teams,
		Targets:      newTargetViews(status.Targets),
	})
}

func newTargetViews(all []wire.TargetStatus) []TargetView {
	views := make([]TargetView, 0, len(all))
	for _, status := range all {
		t := status.Target
		views = append(views, TargetView{
			ID:            t.ID,
			Session:       t.Session,
			Domain:        t.Domain,
			Rack:          t.Rack,
			Slots:         t.Slots,
			Running:       len(t.Attempts),
			Leaving:       t.Leaving,
			Quarantined:   status.Quarantined,
			MilliCPU:      int64(t.Capacity.CPU),
			MilliCPUUsed:  int64(t.Used.CPU),
			MemoryMiB:     int64(t.Capacity.Memory),
			MemoryMiBUsed: int64(t.Used.Memory),
		})
	}
	return views
}

func (o *operatorsHandler) jobs(w http.ResponseWriter, r *http.Request) {
	listJobs(o.backend, w, r, "")
}

// drainTarget stops the assignment of new work to a target, as a leave request
// from the target itself does.
func (o *operatorsHandler) drainTarget(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	for _, candidate := range status.Targets {
		if candidate.Target.ID != r.PathValue("target") {
			continue
		}
		reply, fault := o.backend.Leave(ctx, wire.LeaveArgs{
			Target:  candidate.Target.ID,
			Session: candidate.Target.Session,
		})
		if fault != nil {
			writeFault(w, fault)
			return
		}
		writeJSON(w, http.StatusOK, LeaveResponse{Running: reply.Running})
		return
	}
	writeFault(w, wire.NewFault(wire.CodeNotFound, "no such target"))
}

func (o *operatorsHandler) removeInstance(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, fault := o.backend.RemoveMember(ctx, wire.MemberArgs{Remove: r.PathValue("name")})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Members []raft.Member `json:"members"`
	}{Members: reply.Membership.Members})
}

func (o *operatorsHandler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Name string `json:"name"`
	}{Name: o.backend.Name()})
}

func (o *operatorsHandler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := o.backend.Ready()
	if !ready {
		writeFault(w, wire.NewFault(wire.CodeUnavailable, reason))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{Ready: true})
}
