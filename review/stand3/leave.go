package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// leaveAfter is the time from the confirmation that the worker drains to its
	// deregistration, which is more than drain_ms.
	leaveAfter = 3 * time.Second
	// refuseTime is how long the way to the worker is cut, and refuseBefore how long
	// before the deregistration it begins.
	refuseTime   = 5500 * time.Millisecond
	refuseBefore = time.Second
	// endsAnyway is how long the worker waits for a confirmation before it ends.
	endsAnyway = 4 * time.Second
)

// refusedLeave lets a worker drain and deregister while the way to it is cut, so that
// connections to it are refused and its confirmation doesn't arrive. It runs on until it
// ends anyway, and its tasks must not start elsewhere before.
func refusedLeave(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(16, s.cell.subnet, longTask); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	id := newID()
	if !s.caller.submit(ctx, id, submission("run booking", map[string]any{
		"count":       2,
		"cpu":         2700,
		"mem_mb":      3900,
		"estimate_ms": longTask.Milliseconds(),
	})) {
		return errNotAccepted
	}
	w, _ := s.fleet.awaitHolder(id, 5*time.Second)
	if w == nil {
		return errNotAccepted
	}
	time.Sleep(settleTime)
	line, err := openLine(s.fleet.control[1])
	if err != nil {
		return err
	}
	defer func() { _ = line.conn.Close() }()
	if err := w.drainOver(line); err != nil {
		return err
	}
	time.Sleep(leaveAfter - refuseBefore)
	if s.trouble {
		w.refuse(refuseTime)
	}
	time.Sleep(refuseBefore)
	if err := w.deregister(line, s.trouble); err != nil {
		return err
	}
	w.crash()
	time.Sleep(settleTime)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if twice := s.fleet.twice; len(twice) > 0 {
		return broken("%d tasks started while a run of theirs was at work on a worker that is up, first %s", len(twice), twice[0])
	}
	return nil
}

// line is a connection of a worker to the system that is kept open.
type line struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openLine(address string) (*line, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &line{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// send sends a call.
func (l *line) send(path string, message map[string]any) (*http.Request, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+l.conn.RemoteAddr().String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, req.Write(l.conn)
}

// receive receives the answer to a call and returns its status.
func (l *line) receive(req *http.Request) (int, error) {
	resp, err := http.ReadResponse(l.reader, req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, err
}

// drainOver reports that the worker drains.
func (w *worker) drainOver(l *line) error {
	w.fleet.mu.Lock()
	w.draining = true
	message := w.message()
	w.fleet.mu.Unlock()
	req, err := l.send("/jasmineward/instances/"+w.id+"/heartbeat", message)
	if err != nil {
		return err
	}
	status, err := l.receive(req)
	w.fleet.rec.add("worker %s: its report that it drains was answered %d", w.id, status)
	return err
}

// deregister says that the worker leaves, and returns when it ends: when that is confirmed,
// or some time later if no confirmation can arrive.
func (w *worker) deregister(l *line, cut bool) error {
	w.fleet.rec.add("worker %s: deregisters", w.id)
	req, err := l.send("/jasmineward/instances/"+w.id+"/deregister", map[string]any{"born": w.born})
	if err != nil {
		return err
	}
	if cut {
		time.Sleep(endsAnyway)
		w.fleet.rec.add("worker %s: ends without a confirmation", w.id)
		return nil
	}
	status, err := l.receive(req)
	w.fleet.rec.add("worker %s: its deregistration was answered %d", w.id, status)
	return err
}
