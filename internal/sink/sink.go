// Package sink writes log lines asynchronously, so that logging never blocks
// the caller. Lines wait in a buffer of bounded size; those that do not fit are
// dropped and counted, and a log line reports how many were dropped.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is how long lines are batched before they are written.
	flushDelay = 20 * time.Millisecond
	// closeTimeout is how long Close waits for an output that has stalled.
	closeTimeout = 200 * time.Millisecond
	// maxChunk is the largest write, in bytes, that a pipe accepts atomically.
	// The reader of a longer write may see only part of it, and so a truncated
	// line.
	maxChunk = 4096
)

// AsyncWriter is an io.Writer for whole log lines. It buffers them and writes
// them to its output from a goroutine.
type AsyncWriter struct {
	out   io.Writer
	limit int
	wake  chan struct{}
	done  chan struct{}

	mu     sync.Mutex
	buffer []byte
	// spare is the previously flushed buffer, kept for reuse.
	spare []byte
	// unreported counts the dropped lines that no log line has reported yet.
	unreported int
	dropped    int
	closed     bool
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer to out that buffers at most limit bytes.
func NewAsyncWriter(out io.Writer, limit int) *AsyncWriter {
	w := &AsyncWriter{
		out:   out,
		limit: limit,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers a line, or drops and counts it if the buffer is full or the
// writer is closed. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buffer)+len(line) > w.limit {
		w.unreported++
		w.dropped++
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		// The flag is read before the flush: lines buffered during a flush need
		// another one, which Close requests.
		closed := w.isClosed()
		if !closed {
			time.Sleep(flushDelay)
		}
		w.flush()
		if closed {
			return
		}
	}
}

func (w *AsyncWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// flush writes the buffered lines. It ignores write errors, because there is no
// other place to report them.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = w.spare[:0]
	if w.unreported > 0 {
		lines = fmt.Appendf(lines, `{"level":"warning","msg":"log: lines left out","count":%d}`+"\n", w.unreported)
		w.unreported = 0
	}
	w.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		chunk := rest[:chunkLen(rest)]
		_, _ = w.out.Write(chunk)
		rest = rest[len(chunk):]
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// chunkLen returns the length of the leading lines to write together: as many
// whole lines as fit into maxChunk bytes, and at least one.
func chunkLen(lines []byte) int {
	if len(lines) <= maxChunk {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxChunk], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Close flushes the buffered lines. It gives up after closeTimeout if the
// output has stalled.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
