package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callTime is how long clients wait for a response.
const callTime = 3 * time.Second

// send sends one request on a connection of its own. The status is zero if there is no
// response.
func send(method, url, host, key string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Jasmineward-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	}
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// step is a step of a submission.
type step map[string]any

// newID returns an ID that no submission has had.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// caller is a client: its queue and its key.
type caller struct {
	queue, key string
}

// owner is a client of the first tenant.
var owner = caller{
	queue: urgent,
	key:   ownKey,
}

// submit hands a submission in at the edge machine, and returns the status.
func (r *rig) submit(edge *machine, c caller, id, spec string, steps ...step) int {
	body, err := json.Marshal(map[string]any{
		"spec":  spec,
		"steps": steps,
	})
	if err != nil {
		return 0
	}
	r.record.add("client", "POST %s at %s: %s", id, edge.name, body)
	return r.call(edge, c, "POST", id, body)
}

// call makes a call about a submission.
func (r *rig) call(edge *machine, c caller, method, id string, body []byte) int {
	url := fmt.Sprintf("http://%s:%d%s%s", edge.ip, r.ports.callers, c.queue, id)
	status, data := send(method, url, host, c.key, body, callTime)
	r.record.add("client", "%s %s at %s is answered %d %s", method, id, edge.name, status, strings.TrimSpace(string(data)))
	return status
}

// stateOf returns the state of the submission, or the status in brackets.
func (r *rig) stateOf(c caller, id string) string {
	var answer struct {
		State string `json:"state"`
	}
	edge := r.edges[len(r.edges)-1]
	url := fmt.Sprintf("http://%s:%d%s%s", edge.ip, r.ports.callers, c.queue, id)
	status, data := send("GET", url, host, c.key, nil, callTime)
	r.record.add("client", "GET %s at %s is answered %d %s", id, edge.name, status, strings.TrimSpace(string(data)))
	if json.Unmarshal(data, &answer) != nil || status != http.StatusOK {
		return fmt.Sprintf("(%d)", status)
	}
	return answer.State
}

// pending returns the number that the edge machine gives as pending, or -1.
func (r *rig) pending(edge *machine) int {
	answer := struct {
		Pending int `json:"pending"`
	}{Pending: -1}
	url := fmt.Sprintf("http://%s:%d%s", edge.ip, r.ports.callers, urgent)
	status, data := send("GET", url, host, ownKey, nil, callTime)
	r.record.add("client", "GET of the queue at %s is answered %d %s", edge.name, status, strings.TrimSpace(string(data)))
	if json.Unmarshal(data, &answer) != nil || status != http.StatusOK {
		return -1
	}
	return answer.Pending
}
