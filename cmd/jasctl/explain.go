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

// explain prints what the logs of several processes say of one job.
func explain(_ context.Context, t *tool, args []string) error {
	rest, extra, err := t.parse("explain", args, 1)
	if err != nil {
		return err
	}
	flags, ok := extra.(*logsFlags)
	if !ok {
		return errors.Wrap(errUsage, "explain")
	}
	told := story.New(rest[0])
	for _, path := range strings.Split(flags.logs, ",") {
		if err := readLog(told, path); err != nil {
			return err
		}
	}
	return told.Write(t.out)
}

func readLog(told *story.Story, path string) error {
	if path == "-" {
		return told.Read("stdin", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrapf(errUsage, "logs: %s", err)
	}
	defer func() { _ = file.Close() }()
	return told.Read(strings.TrimSuffix(path, ".log"), file)
}
