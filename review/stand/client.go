package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callDeadline is how long a client waits for an answer.
	callDeadline = 3 * time.Second
	// operatorWait is how long the operator waits for an answer.
	operatorWait = time.Second
	queueHost    = "queue.example"
)

// response is the answer to a call. Its status is zero if there was none.
type response struct {
	status int
	body   string
}

// taken reports whether the call was answered with success.
func (r response) taken() bool {
	return r.status >= http.StatusOK && r.status < http.StatusMultipleChoices
}

// state returns the state of a submission in the answer.
func (r response) state() string {
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(r.body), &body) != nil {
		return ""
	}
	return body.State
}

// caller is a client of the queues. Its calls carry its key, if it has one.
type caller struct {
	name   string
	key    string
	entry  string
	record *record
}

// call sends one call to the caller's entry instance.
func (c *caller) call(method, path, body string) response {
	req, err := http.NewRequest(method, "http://"+c.entry+path, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Jasmineward-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("X-Api-Key", c.key)
	}
	got := send(req, callDeadline)
	c.record.write("call  %s %s %s key %q %s -> %d %s", c.name, method, path, c.key, body, got.status, got.body)
	return got
}

// until repeats a call each 200 ms until the answer is as wanted or the time is over.
// It returns the last answer.
func (c *caller) until(limit time.Duration, method, path, body string, wanted func(response) bool) response {
	end := time.Now().Add(limit)
	for {
		got := c.call(method, path, body)
		if wanted(got) || time.Now().After(end) {
			return got
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// submit hands a submission in until it is accepted.
func (c *caller) submit(path, body string) bool {
	return c.until(10*time.Second, http.MethodPost, path, body, response.taken).taken()
}

// send sends a request on a connection of its own.
func send(req *http.Request, limit time.Duration) response {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
		Timeout:   limit,
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{
		status: resp.StatusCode,
		body:   strings.TrimSpace(string(data)),
	}
}

// route is a queue of a configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path_prefix"`
	Type            string  `json:"type"`
	TimeoutMs       int     `json:"timeout_ms"`
	TargetLatencyMs float64 `json:"target_latency_ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max_attempts"`
	Stretch         float64 `json:"stretch"`
	Public          bool    `json:"public"`
}

func newRoute(name, prefix string, maxAttempts int) route {
	return route{
		Name:            name,
		Host:            queueHost,
		PathPrefix:      prefix,
		Type:            "non_idempotent",
		TimeoutMs:       3000,
		TargetLatencyMs: 250,
		Service:         serviceName,
		MaxAttempts:     maxAttempts,
		Stretch:         1.5,
	}
}

// tenant is a client account of a configuration.
type tenant struct {
	Name    string           `json:"name"`
	APIKeys []string         `json:"api_keys"`
	Weight  int              `json:"weight"`
	Cap     map[string]int64 `json:"cap"`
}

func newTenant(name string, keys ...string) tenant {
	return tenant{
		Name:    name,
		APIKeys: append([]string{}, keys...),
		Weight:  10,
		Cap: map[string]int64{
			"cpu":    0,
			"mem_mb": 0,
			"gpus":   0,
		},
	}
}

// encodeConfig returns a complete configuration.
func encodeConfig(version int, routes []route, tenants []tenant) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name":            serviceName,
			"health_path":     "/healthz",
			"max_connections": 64,
			"protocol":        "h1",
			"tls":             false,
			"admission_check": false,
			"standby":         false,
		}},
		"limits": map[string]int{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": tenants,
	})
	if err != nil {
		return nil
	}
	return data
}

// configure sends a configuration to the instances that serve control, one after the
// other, until one acknowledges it.
func (c *cell) configure(version int, routes []route, tenants []tenant) bool {
	body := encodeConfig(version, routes, tenants)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, address := range c.control {
			url := "http://" + address + "/jasmineward/config/replace"
			req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
			if err != nil {
				return false
			}
			got := send(req, operatorWait)
			c.record.write("order configuration %d to %s -> %d", version, address, got.status)
			if got.taken() {
				c.record.write("order configuration %d is %s", version, body)
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return false
}
