package intake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkRead compares the receipt of an ordinary job with reading it whole, which
// was done before there were budgets.
func BenchmarkRead(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := NewGate("test", NewBudget(18*mib, 8*mib))
	reader := NewReader(gate, NewMonitor(log, gate), DefaultTiming(), mib, WithCost(JSONCost))
	text := `{"steps":[` + strings.Repeat(`{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":100},`, 40) + `{"count":1}]}`
	request := func() *http.Request {
		return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
	}
	b.Run("intake", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			body, refusal := reader.Read(&response{ResponseRecorder: httptest.NewRecorder()}, request(), "key")
			if refusal != nil {
				b.Fatal(refusal)
			}
			body.Release()
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r := request()
			if _, err := io.ReadAll(http.MaxBytesReader(httptest.NewRecorder(), r.Body, mib)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
