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
	closeWhole(s)
	c.Assert(out.b.String(), qt.Equals, want)
}

// closeWhole closes a sink whose reader has not stopped and waits, however busy
// the machine is, until all has been written.
func closeWhole(s *Sink) {
	s.Close()
	<-s.done
}

// gathered returns how many bytes wait for the writer.
func gathered(s *Sink) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buffer)
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
	c.Assert(gathered(s) <= 1000, qt.IsTrue)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.Close()
		_ = writer.Close()
	}()
	all, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(string(all), qt.Contains, `"msg":"log: lines left out"`)
}

// pieces notes what was written at a time.
type pieces struct {
	mu  sync.Mutex
	all []string
}

func (p *pieces) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, string(b))
	return len(b), nil
}

// A reader that takes a part of what a pipe holds must not see a line cut in
// two, so each write is whole lines and no longer than a pipe takes at once.
func TestWritesAreWholeLines(t *testing.T) {
	c := qt.New(t)
	var out pieces
	s := NewSink(&out, 1<<20)
	for i := range 500 {
		_, err := s.Write([]byte(strings.Repeat("x", 50+i%300) + "\n"))
		c.Assert(err, qt.IsNil)
	}
	_, err := s.Write([]byte(strings.Repeat("y", 3*pieceBytes) + "\n"))
	c.Assert(err, qt.IsNil)
	closeWhole(s)
	for _, piece := range out.all {
		c.Check(strings.HasSuffix(piece, "\n"), qt.IsTrue)
		c.Check(len(piece) <= pieceBytes || strings.Count(piece, "\n") == 1, qt.IsTrue)
	}
}
