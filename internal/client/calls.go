package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Submit hands a job in and waits for its outcome for the time given.
func (c *Client) Submit(ctx context.Context, job entry.JobRequest, wait time.Duration) (entry.JobView, error) {
	var view entry.JobView
	err := c.do(ctx, http.MethodPost, "/v1/jobs"+query("wait", waitText(wait)), job, &view)
	return view, err
}

// Get returns a job, and waits for its outcome for the time given. The
// service is needed only without a key.
func (c *Client) Get(ctx context.Context, id, service string, wait time.Duration) (entry.JobView, error) {
	var view entry.JobView
	path := "/v1/jobs/" + url.PathEscape(id) + query("service", service, "wait", waitText(wait))
	err := c.do(ctx, http.MethodGet, path, nil, &view)
	return view, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id, service string) (entry.JobView, error) {
	var view entry.JobView
	path := "/v1/jobs/" + url.PathEscape(id) + query("service", service)
	err := c.do(ctx, http.MethodDelete, path, nil, &view)
	return view, err
}

// List lists jobs, newest first: a caller's own, or on the operators'
// listener those of all teams.
func (c *Client) List(ctx context.Context, live bool, most int) ([]entry.JobView, error) {
	var answer struct {
		Jobs []entry.JobView `json:"jobs"`
	}
	path := "/v1/jobs" + query("live", boolText(live), "most", countText(most))
	err := c.do(ctx, http.MethodGet, path, nil, &answer)
	return answer.Jobs, err
}

// ApplyNote applies a release note, or only checks it, and waits for it to
// be in force everywhere for the time given.
func (c *Client) ApplyNote(
	ctx context.Context, n note.Note, check bool, wait time.Duration,
) (entry.NoteResponse, error) {
	var answer entry.NoteResponse
	path := "/v1/notes" + query("check", boolText(check), "wait", waitText(wait))
	err := c.do(ctx, http.MethodPost, path, n, &answer)
	return answer, err
}

// InForce returns the configuration in force.
func (c *Client) InForce(ctx context.Context) (entry.NoteResponse, error) {
	var answer entry.NoteResponse
	err := c.do(ctx, http.MethodGet, "/v1/notes", nil, &answer)
	return answer, err
}

// Cell returns the state of the cell.
func (c *Client) Cell(ctx context.Context) (entry.CellResponse, error) {
	var answer entry.CellResponse
	err := c.do(ctx, http.MethodGet, "/v1/cell", nil, &answer)
	return answer, err
}

// Drain has a target get no new work.
func (c *Client) Drain(ctx context.Context, target string) (entry.LeaveResponse, error) {
	var answer entry.LeaveResponse
	err := c.do(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(target)+"/drain", nil, &answer)
	return answer, err
}

// RemoveInstance removes an instance's replica from the log.
func (c *Client) RemoveInstance(ctx context.Context, name string) ([]raft.Member, error) {
	var answer struct {
		Members []raft.Member `json:"members"`
	}
	err := c.do(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil, &answer)
	return answer.Members, err
}

// Announce opens a target's session.
func (c *Client) Announce(ctx context.Context, target string, a entry.AnnounceRequest) (entry.PollResponse, error) {
	var answer entry.PollResponse
	err := c.do(ctx, http.MethodPost, targetPath(target, "announce"), a, &answer)
	return answer, err
}

// Poll renews a target's lease and brings its orders. It is sent once only:
// the lease counts from the sending.
func (c *Client) Poll(ctx context.Context, target string, p entry.PollRequest) (entry.PollResponse, error) {
	var answer entry.PollResponse
	data, err := encode(p)
	if err != nil {
		return answer, err
	}
	base := c.bases[c.next.Load()%uint64(len(c.bases))]
	err = c.once(ctx, http.MethodPost, base+targetPath(target, "poll"), data, &answer)
	if err != nil {
		c.next.Add(1)
	}
	return answer, err
}

// Report brings a target's events.
func (c *Client) Report(ctx context.Context, target string, r entry.ReportRequest) (entry.ReportResponse, error) {
	var answer entry.ReportResponse
	err := c.do(ctx, http.MethodPost, targetPath(target, "report"), r, &answer)
	return answer, err
}

// Leave has a target get nothing new, or ends its session.
func (c *Client) Leave(ctx context.Context, target string, l entry.LeaveRequest) (entry.LeaveResponse, error) {
	var answer entry.LeaveResponse
	err := c.do(ctx, http.MethodPost, targetPath(target, "leave"), l, &answer)
	return answer, err
}

func targetPath(target, call string) string {
	return "/v1/targets/" + url.PathEscape(target) + "/" + call
}
