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

// An instance that answers once that it can't serve now, and then not at all
// until the caller's time is over, has answered: its reason is returned, and
// not that nobody answered.
func TestReasonSurvivesTheDeadline(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			<-done
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"` + string(wire.CodeStale) + `"}`))
	}))
	defer server.Close()
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New([]string{server.URL}).List(ctx, false, 1)
	var p *client.Problem
	c.Assert(errors.As(err, &p), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(p.Code, qt.Equals, wire.CodeStale)
	c.Check(calls.Load(), qt.Equals, int64(2))
}
