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

// Submit submits a job and waits up to the given time for its outcome.
func (c *Client) Submit(ctx context.Context, job entry.JobRequest, wait time.Duration) (entry.JobView, error) {
	var view entry.JobView
	err := c.doWithRetry(ctx, http.MethodPost, "/v1/jobs"+queryString("wait", formatWait(wait)), job, &view)
	return view, err
}

// Get returns a job and waits up to the given time for its outcome. The service
// is required only without a key.
func (c *Client) Get(ctx context.Context, id, service string, wait time.Duration) (entry.JobView, error) {
	var view entry.JobView
	path := "/v1/jobs/" + url.PathEscape(id) + queryString("service", service, "wait", formatWait(wait))
	err := c.doWithRetry(ctx, http.MethodGet, path, nil, &view)
	return view, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id, service string) (entry.JobView, error) {
	var view entry.JobView
	path := "/v1/jobs/" + url.PathEscape(id) + queryString("service", service)
	err := c.doWithRetry(ctx, http.MethodDelete, path, nil, &view)
	return view, err
}

// List returns jobs, newest first: the caller's own, or those of all teams on the
// operators' listener.
func (c *Client) List(ctx context.Context, live bool, limit int) ([]entry.JobView, error) {
	var response struct {
		Jobs []entry.JobView `json:"jobs"`
	}
	path := "/v1/jobs" + queryString("live", formatBool(live), "most", formatCount(limit))
	err := c.doWithRetry(ctx, http.MethodGet, path, nil, &response)
	return response.Jobs, err
}

// ApplyNote applies a release note, or only checks it, and waits up to the given
// time until it is active on every instance.
func (c *Client) ApplyNote(
	ctx context.Context, n note.Note, check bool, wait time.Duration,
) (entry.NoteResponse, error) {
	var response entry.NoteResponse
	path := "/v1/notes" + queryString("check", formatBool(check), "wait", formatWait(wait))
	err := c.doWithRetry(ctx, http.MethodPost, path, n, &response)
	return response, err
}

// ActiveConfig returns the active configuration.
func (c *Client) ActiveConfig(ctx context.Context) (entry.NoteResponse, error) {
	var response entry.NoteResponse
	err := c.doWithRetry(ctx, http.MethodGet, "/v1/notes", nil, &response)
	return response, err
}

// Cell returns the state of the cell.
func (c *Client) Cell(ctx context.Context) (entry.CellResponse, error) {
	var response entry.CellResponse
	err := c.doWithRetry(ctx, http.MethodGet, "/v1/cell", nil, &response)
	return response, err
}

// Drain stops the assignment of new work to a target.
func (c *Client) Drain(ctx context.Context, target string) (entry.LeaveResponse, error) {
	var response entry.LeaveResponse
	err := c.doWithRetry(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(target)+"/drain", nil, &response)
	return response, err
}

// RemoveInstance removes an instance from the members of the replicated log.
func (c *Client) RemoveInstance(ctx context.Context, name string) ([]raft.Member, error) {
	var response struct {
		Members []raft.Member `json:"members"`
	}
	err := c.doWithRetry(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil, &response)
	return response.Members, err
}

// Announce opens a target's session.
func (c *Client) Announce(ctx context.Context, target string, a entry.AnnounceRequest) (entry.PollResponse, error) {
	var response entry.PollResponse
	err := c.doWithRetry(ctx, http.MethodPost, targetPath(target, "announce"), a, &response)
	return response, err
}

// Poll renews a target's lease and returns its orders. It is not retried, because
// the lease counts from the time at which the poll is sent.
func (c *Client) Poll(ctx context.Context, target string, p entry.PollRequest) (entry.PollResponse, error) {
	var response entry.PollResponse
	data, err := encodeBody(p)
	if err != nil {
		return response, err
	}
	baseURL := c.baseURLs[c.nextBase.Load()%uint64(len(c.baseURLs))]
	err = c.send(ctx, http.MethodPost, baseURL+targetPath(target, "poll"), data, &response)
	if err != nil {
		c.nextBase.Add(1)
	}
	return response, err
}

// Report reports a target's events.
func (c *Client) Report(ctx context.Context, target string, r entry.ReportRequest) (entry.ReportResponse, error) {
	var response entry.ReportResponse
	err := c.doWithRetry(ctx, http.MethodPost, targetPath(target, "report"), r, &response)
	return response, err
}

// Leave stops the assignment of new work to a target, or ends its session.
func (c *Client) Leave(ctx context.Context, target string, l entry.LeaveRequest) (entry.LeaveResponse, error) {
	var response entry.LeaveResponse
	err := c.doWithRetry(ctx, http.MethodPost, targetPath(target, "leave"), l, &response)
	return response, err
}

func targetPath(target, action string) string {
	return "/v1/targets/" + url.PathEscape(target) + "/" + action
}
