package entry

import (
	"context"
	"net/http"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// NoteResponse tells what is in force after a note, and who lacks it.
type NoteResponse struct {
	InForce *note.State       `json:"in-force"`
	Diff    []note.Difference `json:"diff,omitempty"`
	// Behind names the live instances that do not have it yet.
	Behind []string `json:"behind"`
}

// CellResponse is the state of the cell.
type CellResponse struct {
	Cell      string                `json:"cell"`
	Leader    string                `json:"leader"`
	Term      uint64                `json:"term"`
	Commit    uint64                `json:"commit"`
	Waiting   int                   `json:"tasks-waiting"`
	Running   int                   `json:"tasks-running"`
	Packing   float64               `json:"packing"`
	Instances []wire.InstanceStatus `json:"instances"`
	Members   []raft.Member         `json:"members"`
	Teams     []wire.TeamStatus     `json:"teams"`
	Targets   []TargetView          `json:"targets"`
}

// TargetView is what operators see of a target.
type TargetView struct {
	ID          string `json:"id"`
	Session     string `json:"session"`
	Domain      string `json:"domain"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`
	Running     int    `json:"running"`
	Leaving     bool   `json:"leaving"`
	Quarantined bool   `json:"quarantined"`
	CPU         int64  `json:"milli-cpu"`
	CPUUsed     int64  `json:"milli-cpu-used"`
	Memory      int64  `json:"memory-mib"`
	MemoryUsed  int64  `json:"memory-mib-used"`
}

type operators struct {
	*guard
}

// Operators returns the handler for operators, on which the platform also
// finds /healthz, /readyz and /metrics without a token.
func Operators(backend Backend, limits Limits, token string) http.Handler {
	o := &operators{guard: newGuard("operators", backend, limits)}
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/notes", o.apply)
	api.HandleFunc("GET /v1/notes", o.inForce)
	api.HandleFunc("GET /v1/cell", o.cell)
	api.HandleFunc("GET /v1/jobs", o.jobs)
	api.HandleFunc("POST /v1/targets/{target}/drain", o.drain)
	api.HandleFunc("DELETE /v1/instances/{name}", o.remove)
	api.HandleFunc("/", notFound)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", o.health)
	mux.HandleFunc("GET /readyz", o.ready)
	mux.Handle("GET /metrics", backend.Meter().Handler())
	mux.Handle("/", withToken(token, api))
	return o.wrap(mux)
}

func (o *operators) apply(w http.ResponseWriter, r *http.Request) {
	wait, fault := waitOf(r)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	var body note.Note
	if fault := o.readBody(w, r, &body); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout+wait)
	defer cancel()
	reply, fault := o.backend.ApplyNote(ctx, wire.NoteArgs{
		Note:  body,
		Check: r.URL.Query().Get("check") == "true",
		Wait:  wait,
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, NoteResponse{
		InForce: reply.State,
		Diff:    reply.Diff,
		Behind:  append([]string{}, reply.Behind...),
	})
}

// inForce reads back the configuration that this instance has, with the
// instances that do not have it yet as the leader sees them.
func (o *operators) inForce(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	config, fresh := o.backend.Config()
	if !fresh {
		writeFault(w, wire.Newf(wire.CodeStale, "this instance has not heard from the leader lately"))
		return
	}
	behind := []string{}
	for _, instance := range status.Instances {
		if instance.Note < config.Number {
			behind = append(behind, instance.Name)
		}
	}
	writeJSON(w, http.StatusOK, NoteResponse{
		InForce: config,
		Behind:  behind,
	})
}

func (o *operators) cell(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, http.StatusOK, CellResponse{
		Cell:      status.Cell,
		Leader:    status.Leader,
		Term:      status.Term,
		Commit:    status.Commit,
		Waiting:   status.Waiting,
		Running:   status.Running,
		Packing:   status.Packing,
		Instances: status.Instances,
		Members:   status.Members,
		Teams:     status.Teams,
		Targets:   targetViews(status.Targets),
	})
}

func targetViews(all []wire.TargetStatus) []TargetView {
	views := make([]TargetView, 0, len(all))
	for _, status := range all {
		t := status.Target
		views = append(views, TargetView{
			ID:          t.ID,
			Session:     t.Session,
			Domain:      t.Domain,
			Rack:        t.Rack,
			Slots:       t.Slots,
			Running:     len(t.Attempts),
			Leaving:     t.Leaving,
			Quarantined: status.Quarantined,
			CPU:         int64(t.Capacity.CPU),
			CPUUsed:     int64(t.Used.CPU),
			Memory:      int64(t.Capacity.Memory),
			MemoryUsed:  int64(t.Used.Memory),
		})
	}
	return views
}

func (o *operators) jobs(w http.ResponseWriter, r *http.Request) {
	listJobs(o.backend, w, r, "")
}

// drain has a target get no new work, as its own leave would.
func (o *operators) drain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
	defer cancel()
	status, fault := o.backend.Status(ctx)
	if fault != nil {
		writeFault(w, fault)
		return
	}
	for _, known := range status.Targets {
		if known.Target.ID != r.PathValue("target") {
			continue
		}
		reply, fault := o.backend.Leave(ctx, wire.LeaveArgs{
			Target:  known.Target.ID,
			Session: known.Target.Session,
		})
		if fault != nil {
			writeFault(w, fault)
			return
		}
		writeJSON(w, http.StatusOK, LeaveResponse{Running: reply.Running})
		return
	}
	writeFault(w, wire.Newf(wire.CodeNotFound, "no such target"))
}

func (o *operators) remove(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), admitTimeout)
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

func (o *operators) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Name string `json:"name"`
	}{Name: o.backend.Name()})
}

func (o *operators) ready(w http.ResponseWriter, _ *http.Request) {
	ready, why := o.backend.Ready()
	if !ready {
		writeFault(w, wire.Newf(wire.CodeUnavailable, why))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{Ready: true})
}
