package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host       = "nony24.example"
	prefix     = "/lohu930/"
	urgent     = "/pufi791/"
	service    = "parkapp"
	apiKey     = "6x73d3zji9n73hh2b9wu"
	timeBudget = 3 * time.Second
)

var errNotConfigured = errors.New("the configuration was not acknowledged")

// answer is the answer to a call; its status is 0 if there was none.
type answer struct {
	status int
	body   string
}

// call sends one call and returns its answer.
func call(ctx context.Context, client *http.Client, method, url, hostName string, body []byte) answer {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	if hostName != "" {
		req.Host = hostName
		req.Header.Set("X-Api-Key", apiKey)
		req.Header.Set("X-Jasmineward-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: resp.StatusCode,
		body:   string(data),
	}
}

// caller is a client of the system. Each of its calls has a connection of its own.
type caller struct {
	cell *cell
	rec  *record
	http *http.Client
	// prefix is that of the caller's queue.
	prefix string
}

func newCaller(c *cell) *caller {
	return &caller{
		cell:   c,
		rec:    c.rec,
		prefix: prefix,
		http: &http.Client{
			Timeout: timeBudget,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

// do sends one call to an edge node and records it.
func (c *caller) do(ctx context.Context, method string, edge *node, id string, body []byte) answer {
	c.rec.add("client: %s %s%s to %s %s", method, c.prefix, id, edge.name, body)
	got := call(ctx, c.http, method, "http://"+c.cell.frontendOf(edge)+c.prefix+id, host, body)
	c.rec.add("client: %s %s%s to %s was answered %d %s", method, c.prefix, id, edge.name, got.status, got.body)
	return got
}

// submit hands a submission in, again at another node as long as the answer says that
// this is needed, and reports whether it was accepted.
func (c *caller) submit(ctx context.Context, id string, body []byte) bool {
	for attempt := range 20 {
		got := c.do(ctx, http.MethodPost, c.cell.edges[attempt%len(c.cell.edges)], id, body)
		if got.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission, or the status if there is none.
func (c *caller) state(ctx context.Context, id string) string {
	for attempt := range 8 {
		got := c.do(ctx, http.MethodGet, c.cell.edges[attempt%len(c.cell.edges)], id, nil)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case got.status == http.StatusOK && json.Unmarshal([]byte(got.body), &body) == nil:
			return body.State
		case got.status == http.StatusGone:
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// configure sends the configuration until it is acknowledged.
func (c *caller) configure(ctx context.Context, config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	addresses := c.cell.controlAddresses()
	for attempt := range 60 {
		address := addresses[attempt%len(addresses)]
		got := call(ctx, c.http, http.MethodPost, "http://"+address+"/jasmineward/config/replace", "", body)
		c.rec.add("operator: configuration %v to %s was answered %d", config["version"], address, got.status)
		if got.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotConfigured
}

// newRoute returns a queue, as in PROTOCOL.md.
func newRoute(name, pathPrefix string, priority int) map[string]any {
	return map[string]any{
		"name":              name,
		"host":              host,
		"path_prefix":       pathPrefix,
		"type":              "non_idempotent",
		"timeout_ms":        3000,
		"target_latency_ms": 2500,
		"priority":          priority,
		"service":           service,
		"max_attempts":      3,
		"stretch":           2.2,
		"public":            false,
	}
}

// newConfig returns a configuration with two queues, one of them for urgent work.
func newConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			newRoute("r-ihhacru", prefix, 1),
			newRoute("r-nax7u27", urgent, 0),
		},
		"services": []map[string]any{
			{
				"name":            service,
				"health_path":     "/healthz",
				"max_connections": 64,
				"protocol":        "h1",
				"tls":             false,
				"admission_check": false,
				"standby":         false,
			},
		},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []map[string]any{
			{
				"name":     "kaje80",
				"api_keys": []string{apiKey},
				"priority": 1,
				"weight":   12,
				"cap": map[string]any{
					"cpu":    0,
					"mem_mb": 0,
					"gpus":   0,
				},
			},
		},
	}
}

// newID returns an ID for a submission.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// submission returns the body of a submission with some steps.
func submission(spec string, steps ...map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{
		"spec":  spec,
		"steps": steps,
	})
	return body
}
