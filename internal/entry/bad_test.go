package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/meter"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// updateGolden makes TestInvalidRequests rewrite the golden files in testdata.
var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// fakeBackend is an entry.Backend without a cell behind it.
type fakeBackend struct {
	entry.Backend
	config  *note.State
	stale   bool
	metrics *meter.Metrics
	// lastSubmit is the most recently submitted job.
	lastSubmit ledger.Submit
}

func newFakeBackend(t testing.TB) (*fakeBackend, string) {
	secret, key, err := note.NewKey("dispatch-key", "dispatch")
	qt.Assert(t, err, qt.IsNil)
	state, err := note.NewState().Apply(note.Note{
		Number: 1,
		Changes: []note.Change{
			{
				Op:   note.OpAdd,
				Team: &note.Team{Name: "dispatch"},
			},
			{
				Op:  note.OpAdd,
				Key: &key,
			},
			{
				Op: note.OpAdd,
				Service: &note.Service{
					Name: "walk-ins",
					Team: "dispatch",
					Kind: note.KindService,
					Open: true,
				},
			},
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return &fakeBackend{
		config:  state,
		metrics: meter.New(),
	}, secret
}

func (b *fakeBackend) Config() (*note.State, bool) { return b.config, !b.stale }

func (b *fakeBackend) Metrics() *meter.Metrics { return b.metrics }

func (b *fakeBackend) Submit(_ context.Context, args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	b.lastSubmit = args.Submit
	return wire.JobReply{Job: &ledger.Job{
		Request: args.Submit.Request,
		Spec:    args.Submit.Spec,
	}}, nil
}

func (b *fakeBackend) Report(context.Context, wire.ReportArgs) (wire.ReportReply, *wire.Fault) {
	return wire.ReportReply{}, nil
}

func (b *fakeBackend) ApplyNote(_ context.Context, args wire.NoteArgs) (wire.NoteReply, *wire.Fault) {
	state, err := b.config.Apply(args.Note)
	if err != nil {
		fault := wire.NewFault(wire.CodeInvalidNote, err.Error())
		fault.NoteErrors = b.config.Check(args.Note)
		return wire.NoteReply{}, fault
	}
	return wire.NoteReply{State: state}, nil
}

// TestInvalidRequests sends each request in testdata and compares the response
// with the golden file next to it.
func TestInvalidRequests(t *testing.T) {
	backend, key := newFakeBackend(t)
	limits := entry.DefaultLimits()
	limits.MaxBodyBytes = 4096
	handlers := map[string]http.Handler{
		"callers":   entry.NewCallersHandler(backend, limits),
		"targets":   entry.NewTargetsHandler(backend, limits, ""),
		"operators": entry.NewOperatorsHandler(backend, limits, "operator-token"),
	}
	files, err := filepath.Glob(filepath.Join("testdata", "bad", "*.http"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 10, qt.IsTrue)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".http")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			listener, raw, _ := strings.Cut(string(data), "\n")
			raw = strings.ReplaceAll(raw, "KEY", key)
			raw = strings.ReplaceAll(raw, "LARGE", strings.Repeat("x", 5000))
			head, body, _ := strings.Cut(raw, "\n\n")
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
				strings.ReplaceAll(head, "\n", "\r\n") + "\r\nHost: cell\r\n\r\n")))
			qt.Assert(t, err, qt.IsNil)
			request.Body = io.NopCloser(strings.NewReader(strings.TrimSuffix(body, "\n")))
			recorder := httptest.NewRecorder()
			handlers[listener].ServeHTTP(recorder, request)
			got := fmt.Sprintf("%d %s\n%s", recorder.Code, recorder.Header().Get("Content-Type"), recorder.Body)
			golden := strings.TrimSuffix(file, ".http") + ".golden"
			if *updateGolden {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want), qt.Commentf("input:\n%s", data))
		})
	}
}

// TestStaleConfigurationIsUnavailable checks that an instance with a stale
// configuration rejects requests as unavailable.
func TestStaleConfigurationIsUnavailable(t *testing.T) {
	backend, key := newFakeBackend(t)
	backend.stale = true
	request := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	request.Header.Set("Authorization", "Bearer "+key)
	recorder := httptest.NewRecorder()
	entry.NewCallersHandler(backend, entry.DefaultLimits()).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, recorder.Header().Get("Retry-After"), qt.Equals, "1")
}

// TestSlowClientIsDisconnected sends an incomplete header, then an incomplete
// body, and expects the server to close the connection after the timeouts.
func TestSlowClientIsDisconnected(t *testing.T) {
	backend, key := newFakeBackend(t)
	limits := entry.DefaultLimits()
	limits.HeaderTimeout = 200 * time.Millisecond
	limits.BodyTimeout = 200 * time.Millisecond
	listener, err := entry.Listen("callers", "127.0.0.1:0", entry.NewCallersHandler(backend, limits), limits, nil, nil, backend.metrics)
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	for _, partial := range []string{
		"POST /v1/jobs HTTP/1.1\r\nHost: c",
		"POST /v1/jobs HTTP/1.1\r\nHost: cell\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 100\r\n\r\n{",
	} {
		conn, err := net.Dial("tcp", listener.Address())
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Write([]byte(partial))
		qt.Assert(t, err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		response, err := io.ReadAll(conn)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("connection is not closed"))
		qt.Assert(t, bytes.Contains(response, []byte(" 200 ")), qt.IsFalse)
		_ = conn.Close()
	}
}

// TestRequestLimit sends a request beyond the limit on concurrent requests.
func TestRequestLimit(t *testing.T) {
	backend, key := newFakeBackend(t)
	limits := entry.DefaultLimits()
	limits.MaxRequests = 0
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	request.Header.Set("Authorization", "Bearer "+key)
	entry.NewCallersHandler(backend, limits).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusTooManyRequests)
}

// TestOpenServiceNeedsNoKey submits a job to an open service without a key.
func TestOpenServiceNeedsNoKey(t *testing.T) {
	backend, _ := newFakeBackend(t)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(
		`{"request-id":"r","service":"walk-ins","room":{"milli-cpu":1,"memory-mib":1,"accelerators":0}}`))
	entry.NewCallersHandler(backend, entry.DefaultLimits()).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusAccepted, qt.Commentf("%s", recorder.Body))
	qt.Assert(t, backend.lastSubmit.Request.Scope, qt.Equals, ledger.OpenScope("walk-ins"))
	qt.Assert(t, backend.lastSubmit.KeyID, qt.Equals, "")
}

// FuzzCallers checks that no request body makes the callers' API fail internally.
func FuzzCallers(f *testing.F) {
	backend, key := newFakeBackend(f)
	handler := entry.NewCallersHandler(backend, entry.DefaultLimits())
	f.Add([]byte(`{"request-id":"r","service":"walk-ins","count":-1,"start-within":"1s"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+key)
		handler.ServeHTTP(recorder, request)
		if recorder.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}

// FuzzTargets checks that no request body makes the targets' API fail internally.
func FuzzTargets(f *testing.F) {
	backend, _ := newFakeBackend(f)
	handler := entry.NewTargetsHandler(backend, entry.DefaultLimits(), "")
	f.Add([]byte(`{"session":"s","events":[{"attempt":{"job":1,"task":0,"number":1},"kind":"started"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/targets/t/report", bytes.NewReader(body))
		handler.ServeHTTP(recorder, request)
		if recorder.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}
