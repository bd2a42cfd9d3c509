package sink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// safe is a buffer for two goroutines.
type safe struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safe) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func TestLinesComeInOrder(t *testing.T) {
	c := qt.New(t)
	var out safe
	s := NewSink(&out, 1<<20)
	want := ""
	for i := range 1000 {
		line := fmt.Sprintln("line", i)
		want += line
		_, err := s.Write([]byte(line))
		c.Assert(err, qt.IsNil)
	}
	s.Close()
	c.Assert(out.b.String(), qt.Equals, want)
}

// A reader that has stopped blocks nobody, costs no more than the limit, and
// is told later what it has missed.
func TestStoppedReader(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	s := NewSink(writer, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	started := time.Now()
	for range 10_000 {
		_, err := s.Write(line)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Assert(s.Dropped() > 9_900, qt.IsTrue)
	c.Assert(len(s.buffer) <= 1000, qt.IsTrue)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.Close()
		_ = writer.Close()
	}()
	all, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(string(all), qt.Contains, `"msg":"log: lines left out"`)
}
