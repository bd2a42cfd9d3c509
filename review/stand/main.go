// Command stand runs one case of the review: a small deployment of the project's own
// processes, with stand-ins for clients, workers, the operator and the network.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	arguments  = 3
	// maxTime is how long a case may take in all.
	maxTime = 115 * time.Second
	// settleTime is how long the workers have to be known before a case begins.
	settleTime = time.Second
)

// scenario plays a case on a cell that is ready. It returns an error if the case could
// not be played.
type scenario struct {
	workers int
	play    func(c *cell, trouble bool) error
}

func main() {
	os.Exit(play())
}

func play() int {
	scenarios := map[string]scenario{
		"leaving": {
			workers: 6,
			play:    playLeaving,
		},
		"sameid": {
			workers: 8,
			play:    playSameID,
		},
		"crashed": {
			workers: 8,
			play:    playCrashed,
		},
		"stranger": {
			workers: 3,
			play:    playStranger,
		},
		"restored": {
			workers: 3,
			play:    playRestored,
		},
		"public": {
			workers: 3,
			play:    playPublic,
		},
	}
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if err := playOn(r, s, os.Getenv("TROUBLE") != "0"); err != nil {
		r.write("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		_ = r.close()
		return exitNotRun
	}
	violations := r.close()
	for _, v := range violations {
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// stopEarly ends all processes and this one when it is told to end or maxTime is over.
func (c *cell) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	c.record.write("the case could not run: it was stopped early")
	c.stop()
	os.Exit(exitNotRun)
}

// playOn starts a cell with workers, plays the scenario and ends all processes.
func playOn(r *record, s scenario, trouble bool) error {
	r.write("trouble: %t", trouble)
	c, err := startCell(r)
	if c != nil {
		defer c.stop()
		go c.stopEarly()
	}
	if err != nil {
		return err
	}
	for n := range s.workers {
		if _, err := c.addWorker(n); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return s.play(c, trouble)
}
