package entry_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/entry"
)

// TestBodiesAreBounded guards against a submission that waits for its outcome and keeps
// the bytes of its body counted, which shuts others out, and against a body without room
// that is not refused as busy.
func TestBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	backend, key := newFakeBackend(t)
	limits := entry.DefaultLimits()
	limits.IntakeBytes = 12 << 20
	limits.KeyPercent = 1
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	in := entry.NewIntake(limits, logger)
	handler := entry.NewCallersHandler(backend, limits, entry.WithIntake(in))
	submit := func(body string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	job := func(size int) string {
		return `{"request-id":"0198c0de-0000-7000-8000-000000000000","service":"walk-ins","payload":"` + strings.Repeat("AAAA", size/4) + `"}`
	}
	for range 100 {
		c.Assert(submit(job(5<<10)).Code, qt.Equals, http.StatusAccepted)
	}
	refused := submit(job(1 << 19))
	c.Check(refused.Code, qt.Equals, http.StatusTooManyRequests)
	c.Check(refused.Header().Get("Retry-After"), qt.Equals, "1")
	c.Check(refused.Header().Get("Connection"), qt.Equals, "close")
	c.Check(refused.Body.String(), qt.Contains, `"code":"busy"`)
	c.Check(log.String(), qt.Contains, "intake: refused")
	c.Check(log.String(), qt.Contains, "reason=key")
	c.Check(log.String(), qt.Not(qt.Contains), key)
}

// TestIncompleteBodiesMakeRoomForConnections guards against clients that take up all
// connections with bodies that never end.
func TestIncompleteBodiesMakeRoomForConnections(t *testing.T) {
	c := qt.New(t)
	backend, key := newFakeBackend(t)
	limits := entry.DefaultLimits()
	limits.MaxConnections = 8
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := entry.WithIntake(entry.NewIntake(limits, log))
	listener, err := entry.Listen("callers", "127.0.0.1:0", entry.NewCallersHandler(backend, limits, in), limits, nil, log, backend.metrics, in)
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	for range 8 {
		conn, err := net.Dial("tcp", listener.Address())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST /v1/jobs HTTP/1.1\r\nHost: cell\r\nContent-Length: 100\r\n\r\n{"))
		c.Assert(err, qt.IsNil)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+listener.Address()+"/v1/jobs",
		strings.NewReader(`{"request-id":"0198c0de-0000-7000-8000-000000000000","service":"walk-ins"}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	// The bodies themselves end after the stall time, which must not be what makes room.
	client := &http.Client{Timeout: limits.StallTimeout - time.Second}
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	c.Check(response.Body.Close(), qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusAccepted)
}
