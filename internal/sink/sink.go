// Package sink writes log lines without ever blocking who logs. Lines wait in
// a buffer of fixed size; those that find no room are counted, and a line says
// how many were left out.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// gatherFor is how long lines are gathered before they are written.
	gatherFor = 20 * time.Millisecond
	// closeFor is how long Close waits for a reader that has stopped.
	closeFor = 200 * time.Millisecond
	// pieceBytes is what a pipe takes whole: of a longer write its reader may
	// see a part only, and a line cut in two.
	pieceBytes = 4096
)

// Sink is an io.Writer that takes whole lines.
type Sink struct {
	out   io.Writer
	limit int
	wake  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	total   int
	closed  bool
}

var _ io.Writer = (*Sink)(nil)

// NewSink returns a sink that keeps at most limit bytes for the writer.
func NewSink(out io.Writer, limit int) *Sink {
	s := &Sink{
		out:   out,
		limit: limit,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Write takes a line, or counts it as left out. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.buffer)+len(line) > s.limit {
		s.dropped++
		s.total++
	} else {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		if !s.isClosed() {
			time.Sleep(gatherFor)
		}
		s.flush()
		if s.isClosed() {
			return
		}
	}
}

func (s *Sink) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// flush writes what has gathered. An output that can't be written to has
// nobody to tell of it.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = s.spare[:0]
	if s.dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log: lines left out","count":%d}`+"\n", s.dropped)
		s.dropped = 0
	}
	s.mu.Unlock()
	for left := lines; len(left) > 0; {
		piece := left[:wholeLines(left)]
		_, _ = s.out.Write(piece)
		left = left[len(piece):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}

// wholeLines returns the length of the lines at the start that are written
// together: as many as fit into a piece, and one at least.
func wholeLines(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:pieceBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Close writes what is left, unless the reader has stopped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(closeFor):
	}
}
