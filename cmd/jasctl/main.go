// Command jasctl is the command line of a cell, for callers and operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
	exitOutcome     = 5
)

var (
	errUsage   = errors.New("wrong usage")
	errOutcome = errors.New("job did not succeed")
)

// command is one thing that jasctl can do.
type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, t *tool, args []string) error
}

// tool is what a command works with.
type tool struct {
	out      io.Writer
	settings settings
	asJSON   bool
}

func commands() []command {
	return []command{
		{name: "job submit", args: "[flags]", summary: "hand a job in, and with -wait wait for its outcome", run: jobSubmit},
		{name: "job get", args: "[flags] REQUEST-ID", summary: "show a job", run: jobGet},
		{name: "job wait", args: "[flags] REQUEST-ID", summary: "wait for a job's outcome", run: jobWait},
		{name: "job cancel", args: "[flags] REQUEST-ID", summary: "cancel a job", run: jobCancel},
		{name: "job list", args: "[flags]", summary: "list the jobs of the key's team", run: jobList},
		{name: "explain", args: "[flags] ID", summary: "tell from logs what became of a job of the users' platform", run: explain},
		{name: "note check", args: "[flags] FILE", summary: "check a release note against what is in force", run: noteCheck},
		{name: "note apply", args: "[flags] FILE", summary: "apply a release note", run: noteApply},
		{name: "note get", args: "[flags]", summary: "show what is in force", run: noteGet},
		{name: "note diff", args: "[flags] FILE", summary: "show what a release note would change", run: noteDiff},
		{name: "key new", args: "[flags] ID TEAM", summary: "make a key, shown once, and its entry for a note", run: keyNew},
		{name: "cell status", args: "[flags]", summary: "show the cell", run: cellStatus},
		{name: "instance list", args: "[flags]", summary: "list the instances", run: instanceList},
		{name: "instance add", args: "[flags]", summary: "tell how an instance is added", run: instanceAdd},
		{name: "instance remove", args: "[flags] NAME", summary: "take an instance's replica out of the log", run: instanceRemove},
		{name: "target list", args: "[flags]", summary: "list the targets", run: targetList},
		{name: "target drain", args: "[flags] ID", summary: "have a target get no new work", run: targetDrain},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return help(args, out)
	}
	if len(args) < 2 {
		usage(errOut)
		return exitUsage
	}
	name := args[0] + " " + args[1]
	for _, c := range commands() {
		t := &tool{out: out}
		switch c.name {
		case args[0]:
			return exitOf(c.run(ctx, t, args[1:]), errOut)
		case name:
			return exitOf(c.run(ctx, t, args[2:]), errOut)
		}
	}
	_, _ = fmt.Fprintf(errOut, "jasctl: no command %q\n", name)
	usage(errOut)
	return exitUsage
}

func help(args []string, out io.Writer) int {
	if len(args) < 2 {
		usage(out)
		return exitOK
	}
	name := strings.Join(args[1:], " ")
	for _, c := range commands() {
		if c.name == name {
			_, _ = fmt.Fprintf(out, "jasctl %s %s\n\n%s\n\nflags:\n", c.name, c.args, c.summary)
			printFlags(name, out)
			return exitOK
		}
	}
	usage(out)
	return exitUsage
}

func usage(out io.Writer) {
	_, _ = fmt.Fprintln(out, "usage: jasctl COMMAND [flags] [arguments]; jasctl help COMMAND tells its flags")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(out, "  %-16s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprintln(out, "exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused by the cell,",
		"4 no instance reached, 5 the job ended without success")
}

// exitOf prints the error and returns the exit code for it.
func exitOf(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	var p *client.Problem
	switch {
	case errors.Is(err, errOutcome):
		return exitOutcome
	case errors.As(err, &p):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", p)
		for _, f := range p.Faults {
			_, _ = fmt.Fprintf(errOut, "  %s: %s\n", f.Place, f.Message)
		}
		if p.ActiveNote > 0 {
			_, _ = fmt.Fprintf(errOut, "  in force: note %d, digest %s\n", p.ActiveNote, p.Digest)
		}
		return exitRefused
	case errors.Is(err, client.ErrUnreachable):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", brief(err))
		return exitUnreachable
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", brief(err))
		return exitUsage
	}
	_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", brief(err))
	return exitFailed
}

// brief returns the error's text on one line.
func brief(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", " ")
}
