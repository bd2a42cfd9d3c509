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

// update rewrites the expected answers in testdata.
var update = flag.Bool("update", false, "rewrite the golden files")

// stub is a backend that answers without a cell.
type stub struct {
	entry.Backend
	config *note.State
	stale  bool
	meter  *meter.Meter
	// seen is the last job handed in.
	seen ledger.Submit
}

func newStub(t testing.TB) (*stub, string) {
	shown, key, err := note.NewSecret("dispatch-key", "dispatch")
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
	return &stub{
		config: state,
		meter:  meter.New(),
	}, shown
}

func (s *stub) Config() (*note.State, bool) { return s.config, !s.stale }

func (s *stub) Meter() *meter.Meter { return s.meter }

func (s *stub) Submit(_ context.Context, args wire.SubmitArgs) (wire.JobReply, *wire.Fault) {
	s.seen = args.Submit
	return wire.JobReply{Job: &ledger.Job{
		Request: args.Submit.Request,
		Spec:    args.Submit.Spec,
	}}, nil
}

func (s *stub) Report(context.Context, wire.ReportArgs) (wire.ReportReply, *wire.Fault) {
	return wire.ReportReply{}, nil
}

func (s *stub) ApplyNote(_ context.Context, args wire.NoteArgs) (wire.NoteReply, *wire.Fault) {
	state, err := s.config.Apply(args.Note)
	if err != nil {
		fault := wire.Newf(wire.CodeFaults, err.Error())
		fault.Notes = s.config.Check(args.Note)
		return wire.NoteReply{}, fault
	}
	return wire.NoteReply{State: state}, nil
}

// TestBadInput sends each request in testdata, and compares the answer with
// the one beside it.
func TestBadInput(t *testing.T) {
	backend, key := newStub(t)
	limits := entry.DefaultLimits()
	limits.BodyBytes = 4096
	handlers := map[string]http.Handler{
		"callers":   entry.Callers(backend, limits),
		"targets":   entry.Targets(backend, limits, ""),
		"operators": entry.Operators(backend, limits, "operator-token"),
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
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want), qt.Commentf("input:\n%s", data))
		})
	}
}

// TestStaleInstanceAdmitsNothing has the configuration grow old.
func TestStaleInstanceAdmitsNothing(t *testing.T) {
	backend, key := newStub(t)
	backend.stale = true
	request := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	request.Header.Set("Authorization", "Bearer "+key)
	recorder := httptest.NewRecorder()
	entry.Callers(backend, entry.DefaultLimits()).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, recorder.Header().Get("Retry-After"), qt.Equals, "1")
}

// TestSlowClient sends a header, and later a body, that never ends.
func TestSlowClient(t *testing.T) {
	backend, key := newStub(t)
	limits := entry.DefaultLimits()
	limits.Header = 200 * time.Millisecond
	limits.Body = 200 * time.Millisecond
	listener, err := entry.Open("callers", "127.0.0.1:0", entry.Callers(backend, limits), limits, nil, nil, backend.meter)
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	for _, sent := range []string{
		"POST /v1/jobs HTTP/1.1\r\nHost: c",
		"POST /v1/jobs HTTP/1.1\r\nHost: cell\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 100\r\n\r\n{",
	} {
		conn, err := net.Dial("tcp", listener.Address())
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Write([]byte(sent))
		qt.Assert(t, err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		answer, err := io.ReadAll(conn)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("the connection is not closed"))
		qt.Assert(t, bytes.Contains(answer, []byte(" 200 ")), qt.IsFalse)
		_ = conn.Close()
	}
}

// TestFlood opens more requests than the limit.
func TestFlood(t *testing.T) {
	backend, key := newStub(t)
	limits := entry.DefaultLimits()
	limits.Requests = 0
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/v1/jobs", nil)
	request.Header.Set("Authorization", "Bearer "+key)
	entry.Callers(backend, limits).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusTooManyRequests)
}

// TestOpenServiceTakesAnyone hands work in without a key.
func TestOpenServiceTakesAnyone(t *testing.T) {
	backend, _ := newStub(t)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(
		`{"request-id":"r","service":"walk-ins","room":{"milli-cpu":1,"memory-mib":1,"accelerators":0}}`))
	entry.Callers(backend, entry.DefaultLimits()).ServeHTTP(recorder, request)
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusAccepted, qt.Commentf("%s", recorder.Body))
	qt.Assert(t, backend.seen.Request.Scope, qt.Equals, ledger.OpenScope("walk-ins"))
	qt.Assert(t, backend.seen.KeyID, qt.Equals, "")
}

// FuzzCallers sees that no body breaks the callers' listener.
func FuzzCallers(f *testing.F) {
	backend, key := newStub(f)
	handler := entry.Callers(backend, entry.DefaultLimits())
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

// FuzzTargets sees that no body breaks the targets' listener.
func FuzzTargets(f *testing.F) {
	backend, _ := newStub(f)
	handler := entry.Targets(backend, entry.DefaultLimits(), "")
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
