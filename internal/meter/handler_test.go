package meter

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A monitor that keeps the first bytes of a response would have nothing of the product
// if the metrics of the runtime, which come first by name, took them up.
func TestProductMetricsComeBeforeRuntimeMetrics(t *testing.T) {
	c := qt.New(t)
	recorder := httptest.NewRecorder()
	New().Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	last := -1
	for _, name := range []string{"\njasmineward_leading ", "\njasmineward_decide_seconds_bucket", "\ngo_goroutines ", "\nprocess_"} {
		at := strings.Index(text, name)
		c.Assert(at > last, qt.IsTrue, qt.Commentf("%q at %d, after %d", name, at, last))
		last = at
	}
}
