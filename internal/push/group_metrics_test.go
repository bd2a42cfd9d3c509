package push

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/local"
)

// keptBytes is how much of a response the users' monitoring keeps.
const keptBytes = 4000

// The monitoring keeps the first bytes of a response. What tells of the group has to be
// among them: with more metrics each release, the gauges of voters had moved behind.
func TestGroupMetricsAreInKeptPartOfResponse(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	scheduler, err := NewScheduler(group.Config{
		Name:    "n0",
		Address: local.UnusedAddress(),
	}, testTiming(), nil, nil, log)
	c.Assert(err, qt.IsNil)
	t.Cleanup(scheduler.Stop)
	recorder := httptest.NewRecorder()
	scheduler.Metrics().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	kept := recorder.Body.Bytes()[:keptBytes]
	for _, name := range groupMetrics {
		c.Check(bytes.Contains(kept, []byte("\n"+name+" ")), qt.IsTrue, qt.Commentf("%s", name))
	}
}
