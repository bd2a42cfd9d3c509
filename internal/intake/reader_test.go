package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// response is a response writer with a read deadline.
type response struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (r *response) SetReadDeadline(t time.Time) error {
	r.deadlines = append(r.deadlines, t)
	return nil
}

// script is a body whose reads the test provides.
type script struct {
	reads []func(p []byte) (int, error)
	count int
}

func (s *script) Read(p []byte) (int, error) {
	read := s.reads[min(s.count, len(s.reads)-1)]
	s.count++
	return read(p)
}

func (*script) Close() error { return nil }

func fill(p []byte) (int, error) { return len(p), nil }

func silent([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

type readerTest struct {
	*qt.C
	gate     *Gate
	log      bytes.Buffer
	reader   *Reader
	response *response
}

func newReaderTest(t *testing.T, opts ...ReaderOption) *readerTest {
	r := &readerTest{
		C:        qt.New(t),
		gate:     NewGate("test", testBudget()),
		response: &response{ResponseRecorder: httptest.NewRecorder()},
	}
	log := logrus.New()
	log.SetOutput(&r.log)
	r.reader = NewReader(r.gate, NewMonitor(log, r.gate), DefaultTiming(), mib, opts...)
	return r
}

// read receives a body of the announced length, or -1, with the reads.
func (r *readerTest) read(length int64, reads ...func([]byte) (int, error)) (*Body, *Refusal, *script) {
	body := &script{reads: reads}
	req := httptest.NewRequest(http.MethodPost, "/", body)
	req.ContentLength = length
	received, refusal := r.reader.Read(r.response, req, "")
	return received, refusal, body
}

// checkRefused checks that a refusal closes the connection and keeps nothing.
func (r *readerTest) checkRefused(refusal *Refusal, reason Reason, status int) {
	r.Helper()
	r.Assert(refusal, qt.IsNotNil)
	r.Check(refusal.Reason, qt.Equals, reason)
	r.Check(refusal.Status, qt.Equals, status)
	r.Check(r.response.Header().Get("Connection"), qt.Equals, "close")
	r.Check(r.gate.BytesInFlight(), qt.Equals, int64(0))
	r.Check(r.log.String(), qt.Contains, "intake: refused")
	r.Check(r.log.String(), qt.Contains, "reason="+string(reason))
}

// A body that is announced too large is refused before any of it is read.
func TestAnnouncedBodyTooLarge(t *testing.T) {
	r := newReaderTest(t)
	_, refusal, body := r.read(mib+1, fill)
	r.checkRefused(refusal, ReasonTooLarge, http.StatusRequestEntityTooLarge)
	r.Check(body.count, qt.Equals, 0)
}

// A body without a length is refused once it is too large.
func TestChunkedBodyTooLarge(t *testing.T) {
	r := newReaderTest(t)
	_, refusal, body := r.read(-1, fill)
	r.checkRefused(refusal, ReasonTooLarge, http.StatusRequestEntityTooLarge)
	r.Check(body.count < 20, qt.IsTrue)
}

// Memory is used as bytes arrive, not as announced: clients that announce large bodies
// and send nothing took the memory of large bodies.
func TestMemoryFollowsWhatHasArrived(t *testing.T) {
	r := newReaderTest(t)
	var atFirst, atSecond int64
	body, refusal, _ := r.read(mib, func(p []byte) (int, error) {
		atFirst = r.gate.BytesInFlight()
		return len(p), nil
	}, func(p []byte) (int, error) {
		atSecond = r.gate.BytesInFlight()
		return len(p), nil
	}, fill)
	r.Assert(refusal, qt.IsNil)
	r.Check(atFirst <= 16*kib, qt.IsTrue, qt.Commentf("%d", atFirst))
	r.Check(atSecond <= 32*kib, qt.IsTrue, qt.Commentf("%d", atSecond))
	r.Check(body.Data, qt.HasLen, mib)
	r.Check(r.gate.BytesInFlight() >= mib, qt.IsTrue)
	body.Release()
	body.Release()
	r.Check(r.gate.BytesInFlight(), qt.Equals, int64(0))
}

// A body without progress ends after the stall time, and one that trickles after the
// body time. The deadline of the connection is removed after a whole body, so that it
// does not end the call that follows.
func TestDeadlines(t *testing.T) {
	r := newReaderTest(t)
	start := time.Now()
	_, refusal, _ := r.read(100, silent)
	r.checkRefused(refusal, ReasonStalled, http.StatusRequestTimeout)
	r.Check(r.response.deadlines[0].Sub(start).Round(time.Second), qt.Equals, DefaultTiming().Stall)

	r = newReaderTest(t)
	r.reader.timing.Stall = time.Hour
	_, refusal, _ = r.read(100, silent)
	r.checkRefused(refusal, ReasonTimeout, http.StatusRequestTimeout)
	r.Check(r.response.deadlines[0].Sub(start).Round(time.Second), qt.Equals, DefaultTiming().Body)

	r = newReaderTest(t)
	body, refusal, _ := r.read(100, fill)
	r.Assert(refusal, qt.IsNil)
	r.Check(body.Data, qt.HasLen, 100)
	r.Check(r.response.deadlines[len(r.response.deadlines)-1].IsZero(), qt.IsTrue)
}

// A body that gives way to others is answered 503, as it has not run and never will.
func TestEvictedBodyIsRefused(t *testing.T) {
	r := newReaderTest(t)
	_, refusal, _ := r.read(mib, fill, func([]byte) (int, error) {
		r.Check(r.gate.EvictOldest(1, time.Now().Add(time.Minute)), qt.Equals, 1)
		return silent(nil)
	})
	r.checkRefused(refusal, ReasonEvicted, http.StatusServiceUnavailable)
	r.Check(refusal.RetryAfter, qt.Equals, time.Second)
	r.Check(r.response.deadlines[len(r.response.deadlines)-1].Before(time.Now()), qt.IsTrue)
}

// A body that ends early is not taken for a whole one.
func TestBrokenBody(t *testing.T) {
	r := newReaderTest(t)
	_, refusal, _ := r.read(100, func([]byte) (int, error) { return 3, io.ErrUnexpectedEOF })
	r.checkRefused(refusal, ReasonBroken, http.StatusBadRequest)
}

// A megabyte of empty objects takes a hundred when it is decoded. Text in strings, such
// as a job within a job, takes no more than itself.
func TestCostOfDecodedForm(t *testing.T) {
	c := qt.New(t)
	c.Check(JSONCost(bytes.Repeat([]byte("{},"), mib/3)) > 80*mib, qt.IsTrue)
	quoted := `{"spec":"` + strings.Repeat(`{\"a\":1},`, 1000) + `"}`
	c.Check(JSONCost([]byte(quoted)) <= int64(2*len(quoted)+objectBytes), qt.IsTrue)
	for text, want := range map[string]int64{
		``: 0, `"`: 0, `"\`: 0, `"{`: 0, `"\"{"{`: 1, `"\\"{`: 1, `"\\\"{`: 0, `[{"a":{}},{}]`: 3,
	} {
		objects, _ := countJSON([]byte(text))
		c.Check(objects, qt.Equals, want, qt.Commentf("%s", text))
	}
	r := newReaderTest(t, WithCost(JSONCost))
	_, refusal, _ := r.read(mib, func(p []byte) (int, error) {
		return copy(p, bytes.Repeat([]byte("{"), len(p))), nil
	})
	r.checkRefused(refusal, ReasonDecoded, http.StatusRequestEntityTooLarge)
}

// A crowd must not fill the log.
func TestLogIsLimitedInRate(t *testing.T) {
	r := newReaderTest(t)
	now := time.Unix(1000, 0)
	for range 1000 {
		r.reader.monitor.refused(r.gate, "10.0.0.1", ReasonBudget, now)
	}
	r.reader.monitor.refused(r.gate, "10.0.0.2", ReasonKey, now)
	r.reader.monitor.refused(r.gate, "10.0.0.3", ReasonBudget, now.Add(time.Second))
	lines := strings.Split(strings.TrimSpace(r.log.String()), "\n")
	r.Assert(lines, qt.HasLen, 3)
	r.Check(lines[2], qt.Contains, "address=10.0.0.3")
	r.Check(lines[2], qt.Contains, "omitted=999")
}

// An operator has to see refusals and what is reserved.
func TestMetrics(t *testing.T) {
	r := newReaderTest(t)
	body, refusal, _ := r.read(mib, fill)
	r.Assert(refusal, qt.IsNil)
	defer body.Release()
	_, refusal, _ = r.read(mib+1, fill)
	r.Assert(refusal, qt.IsNotNil)
	registry := prometheus.NewRegistry()
	r.Assert(registry.Register(r.reader.monitor), qt.IsNil)
	families, err := registry.Gather()
	r.Assert(err, qt.IsNil)
	values := map[string]float64{}
	for _, family := range families {
		metric := family.GetMetric()[0]
		values[family.GetName()+"/"+metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
	}
	r.Check(values, qt.DeepEquals, map[string]float64{
		"jasmineward_intake_bytes/test":              mib + requestOverhead,
		"jasmineward_intake_refused_total/too-large": 1,
	})
}

// wire is a connection that records its writes.
type wire struct {
	net.Conn
	sizes    []int
	deadline time.Time
}

func (w *wire) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	return len(p), nil
}

func (w *wire) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// A client that does not read its response must not keep it forever, while one with a
// slow link may take as long as it makes progress.
func TestWritesHaveDeadlines(t *testing.T) {
	c := qt.New(t)
	inner := &wire{}
	connection := &conn{
		Conn: inner,
		time: time.Minute,
	}
	n, err := connection.Write(make([]byte, 2*writePiece+1))
	c.Assert(err, qt.IsNil)
	c.Check(n, qt.Equals, 2*writePiece+1)
	c.Check(inner.sizes, qt.DeepEquals, []int{writePiece, writePiece, 1})
	c.Check(time.Until(inner.deadline) > 50*time.Second, qt.IsTrue)
	sooner := time.Now().Add(time.Second)
	c.Assert(connection.SetWriteDeadline(sooner), qt.IsNil)
	_, err = connection.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	c.Check(inner.deadline.Equal(sooner), qt.IsTrue)
}
