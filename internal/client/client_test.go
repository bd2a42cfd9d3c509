package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// TestDeadlineReturnsLastProblem guards against losing the reason for a failure.
// The instance responds once with a retryable problem and then not at all until
// the deadline. The client must return the problem, not ErrUnreachable.
func TestDeadlineReturnsLastProblem(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			<-done
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"` + string(wire.CodeStaleConfiguration) + `"}`))
	}))
	defer server.Close()
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New([]string{server.URL}).List(ctx, false, 1)
	var p *client.Problem
	c.Assert(errors.As(err, &p), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(p.Code, qt.Equals, wire.CodeStaleConfiguration)
	c.Check(calls.Load(), qt.Equals, int64(2))
}
