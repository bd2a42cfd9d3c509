// Command stand3 plays the cases of the third review: it starts the processes of a small
// deployment on loopback addresses, with stand-ins for clients, workers and the operator.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	caseTime = 110 * time.Second
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// stage is the deployment with the stand-ins around it.
type stage struct {
	rec     *record
	cell    *cell
	fleet   *fleet
	caller  *caller
	trouble bool
}

// cases are the cases by name. Each returns errBroken if the rule was broken, nil if it
// held, and another error if the case could not run.
var cases = map[string]func(context.Context, *stage) error{
	"given-up":      givenUp,
	"refused-leave": refusedLeave,
	"late-gang":     lateGang,
	"foreign":       foreignReport,
	"earlier-start": earlierStart,
	"stale-starts":  staleStarts,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE FOLDER")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	ctx, unregister := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer unregister()
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	s := &stage{
		rec:     rec,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	done := make(chan struct{})
	go s.endEarly(ctx, done)
	err = cases[os.Args[1]](ctx, s)
	close(done)
	if s.cell != nil {
		s.cell.stop()
	}
	switch {
	case err == nil:
		rec.add("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.add("result: %s", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.add("result: the case could not run: %s", err)
	fmt.Println("the case could not run:", err)
	return exitNotRun
}

// endEarly ends all processes and the case once its time is over, or on a signal, unless
// it is done before.
func (s *stage) endEarly(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	if s.cell != nil {
		s.cell.stop()
	}
	s.rec.add("result: the case was ended early")
	os.Exit(exitNotRun)
}

// open starts a deployment of four core and so many edge nodes, and configures it.
func (s *stage) open(ctx context.Context, edges int, behindProxy bool) error {
	c, err := newCell(s.rec, 4, edges, behindProxy)
	if err != nil {
		return err
	}
	s.cell = c
	s.fleet = &fleet{
		rec:     s.rec,
		control: c.controlAddresses(),

		taskTimes:    map[string]time.Duration{},
		acknowledged: map[string]time.Time{},
	}
	s.caller = newCaller(c)
	return c.start(ctx)
}

// broken returns errBroken with a text.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}
