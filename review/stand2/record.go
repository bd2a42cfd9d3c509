package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    file,
		started: time.Now(),
	}, nil
}

// add writes a line to the file, and the important ones to standard output.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %-9s %s\n", time.Since(r.started).Seconds(), kind, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	switch kind {
	case "case", "broken", "result", "disrupt":
		_, _ = os.Stdout.WriteString(line)
	}
}

func (r *record) close() {
	_ = r.file.Close()
}
