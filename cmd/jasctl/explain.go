package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/story"
)

type logsFlags struct {
	logs string
}

func newLogsFlags(set *flag.FlagSet) *logsFlags {
	f := &logsFlags{}
	set.StringVar(&f.logs, "logs", "-", "log files, separated by commas; - is standard input")
	return f
}

// explain prints the history of one job, collected from the logs of several
// processes.
func explain(_ context.Context, t *tool, args []string) error {
	rest, extra, err := t.parse("explain", args, 1)
	if err != nil {
		return err
	}
	flags, ok := extra.(*logsFlags)
	if !ok {
		return errors.Wrap(errUsage, "explain")
	}
	timeline := story.New(rest[0])
	for _, path := range strings.Split(flags.logs, ",") {
		if err := readLog(timeline, path); err != nil {
			return err
		}
	}
	return timeline.WriteReport(t.out)
}

func readLog(timeline *story.Timeline, path string) error {
	if path == "-" {
		return timeline.AddLog("stdin", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrapf(errUsage, "logs: %s", err)
	}
	defer func() { _ = file.Close() }()
	return timeline.AddLog(strings.TrimSuffix(path, ".log"), file)
}
