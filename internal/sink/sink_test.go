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

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	c := qt.New(t)
	var out lockedBuffer
	w := NewAsyncWriter(&out, 1<<20)
	want := ""
	for i := range 1000 {
		line := fmt.Sprintln("line", i)
		want += line
		_, err := w.Write([]byte(line))
		c.Assert(err, qt.IsNil)
	}
	closeAndWait(w)
	c.Assert(out.buffer.String(), qt.Equals, want)
}

// gatedWriter signals each write on started and completes it once released.
type gatedWriter struct {
	lockedBuffer

	started  chan struct{}
	released chan struct{}
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	g.started <- struct{}{}
	<-g.released
	return g.lockedBuffer.Write(p)
}

// TestLineWrittenDuringLastFlush checks that a line that is buffered while the
// writer is flushing, just before Close, is still written.
func TestLineWrittenDuringLastFlush(t *testing.T) {
	c := qt.New(t)
	out := &gatedWriter{
		started:  make(chan struct{}, 2),
		released: make(chan struct{}, 2),
	}
	w := NewAsyncWriter(out, 1<<20)
	_, err := w.Write([]byte("first\n"))
	c.Assert(err, qt.IsNil)
	<-out.started
	_, err = w.Write([]byte("second\n"))
	c.Assert(err, qt.IsNil)
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	out.released <- struct{}{}
	out.released <- struct{}{}
	closeAndWait(w)
	c.Assert(out.buffer.String(), qt.Equals, "first\nsecond\n")
}

// closeAndWait closes a writer whose output has not stalled and waits until
// everything is written. Unlike Close it has no timeout, so a slow machine does
// not truncate the output.
func closeAndWait(w *AsyncWriter) {
	w.Close()
	<-w.done
}

// buffered returns the number of bytes that wait to be written.
func buffered(w *AsyncWriter) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer)
}

// TestStalledReader checks that a reader that stops reading does not block
// writers, that the buffer stays within its limit, and that the reader is later
// told of the dropped lines.
func TestStalledReader(t *testing.T) {
	c := qt.New(t)
	reader, pipe := io.Pipe()
	w := NewAsyncWriter(pipe, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	started := time.Now()
	for range 10_000 {
		_, err := w.Write(line)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Assert(w.Dropped() > 9_900, qt.IsTrue)
	c.Assert(buffered(w) <= 1000, qt.IsTrue)
	go func() {
		time.Sleep(300 * time.Millisecond)
		w.Close()
		_ = pipe.Close()
	}()
	all, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(string(all), qt.Contains, `"msg":"log: lines left out"`)
}

// writeRecorder records each write separately.
type writeRecorder struct {
	mu     sync.Mutex
	writes []string
}

func (r *writeRecorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, string(b))
	return len(b), nil
}

// TestWritesAreWholeLines checks that each write consists of whole lines and is
// no longer than a pipe accepts atomically. Otherwise a reader that takes part
// of the pipe's content could see a truncated line.
func TestWritesAreWholeLines(t *testing.T) {
	c := qt.New(t)
	var out writeRecorder
	w := NewAsyncWriter(&out, 1<<20)
	for i := range 500 {
		_, err := w.Write([]byte(strings.Repeat("x", 50+i%300) + "\n"))
		c.Assert(err, qt.IsNil)
	}
	_, err := w.Write([]byte(strings.Repeat("y", 3*maxChunk) + "\n"))
	c.Assert(err, qt.IsNil)
	closeAndWait(w)
	for _, write := range out.writes {
		c.Check(strings.HasSuffix(write, "\n"), qt.IsTrue)
		c.Check(len(write) <= maxChunk || strings.Count(write, "\n") == 1, qt.IsTrue)
	}
}
