// Command stand2 plays the cases of the second review. It starts the programs of the
// project as separate processes on loopback addresses, with stand-ins for clients,
// operators and workers that follow the users' pages, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errSetup is returned by a case that could not run.
var errSetup = errors.New("the case could not run")

// play plays one case. It returns a sentence for each break of the rule.
type play func(r *rig, trouble bool) ([]string, error)

func plays() map[string]play {
	return map[string]play{
		"foreign-report": playForeignReport,
		"lasting-done":   playLastingDone,
		"lost-answer":    playLostAnswer,
		"pending":        playPending,
		"late-request":   playLateRequest,
		"hopeless-gang":  playHopelessGang,
		"reserved":       playReserved,
		"unhealthy":      playUnhealthy,
		"frozen-relay":   playFrozenRelay,
		"reborn":         playReborn,
		"clock-back":     playClockBack,
		"late-done":      playLateDone,
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the first argument names, and writes record.txt into the
// folder that the second one names.
func run(args []string) int {
	if len(args) != 2 || plays()[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	record.add("case", "%s, with the disruption: %t", args[0], trouble)
	breaks, err := playCase(plays()[args[0]], record, trouble)
	if err != nil {
		record.add("result", "the case could not run: %s", err)
		return exitFailed
	}
	for _, text := range breaks {
		record.add("broken", "%s", text)
	}
	if len(breaks) > 0 {
		record.add("result", "the rule was broken")
		return exitBroken
	}
	record.add("result", "the rule held")
	return exitHeld
}

// playCase plays the case on a rig of its own, and ends all that it started.
func playCase(p play, record *record, trouble bool) ([]string, error) {
	r, err := newRig(record)
	if err != nil {
		return nil, err
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.close()
		os.Exit(exitFailed)
	}()
	breaks, err := p(r, trouble)
	if err != nil {
		r.recordLogs()
	}
	return breaks, err
}
