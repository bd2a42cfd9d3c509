// Command jasctl is the command-line client of a cell, for callers and operators.
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
	exitJobFailed   = 5
)

var (
	errUsage     = errors.New("invalid usage")
	errJobFailed = errors.New("job did not succeed")
)

// command is a subcommand of jasctl.
type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, t *tool, args []string) error
}

// tool holds the output and the settings of one invocation.
type tool struct {
	out      io.Writer
	settings settings
	asJSON   bool
}

func commands() []command {
	return []command{
		{name: "job submit", args: "[flags]", summary: "submit a job, and with -wait wait for its outcome", run: jobSubmit},
		{name: "job get", args: "[flags] REQUEST-ID", summary: "show a job", run: jobGet},
		{name: "job wait", args: "[flags] REQUEST-ID", summary: "wait for a job's outcome", run: jobWait},
		{name: "job cancel", args: "[flags] REQUEST-ID", summary: "cancel a job", run: jobCancel},
		{name: "job list", args: "[flags]", summary: "list the jobs of the key's team", run: jobList},
		{name: "explain", args: "[flags] ID", summary: "show from logs what happened to a job of the users' platform", run: explain},
		{name: "note check", args: "[flags] FILE", summary: "check a release note against the active configuration", run: noteCheck},
		{name: "note apply", args: "[flags] FILE", summary: "apply a release note", run: noteApply},
		{name: "note get", args: "[flags]", summary: "show the active configuration", run: noteGet},
		{name: "note diff", args: "[flags] FILE", summary: "show what a release note would change", run: noteDiff},
		{name: "key new", args: "[flags] ID TEAM", summary: "generate a key, shown once, and its entry for a note", run: keyNew},
		{name: "cell status", args: "[flags]", summary: "show the state of the cell", run: cellStatus},
		{name: "instance list", args: "[flags]", summary: "list the instances", run: instanceList},
		{name: "instance add", args: "[flags]", summary: "explain how to add an instance", run: instanceAdd},
		{name: "instance remove", args: "[flags] NAME", summary: "remove an instance from the members of the replicated log", run: instanceRemove},
		{name: "target list", args: "[flags]", summary: "list the targets", run: targetList},
		{name: "target drain", args: "[flags] ID", summary: "stop assigning new work to a target", run: targetDrain},
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
			return reportError(c.run(ctx, t, args[1:]), errOut)
		case name:
			return reportError(c.run(ctx, t, args[2:]), errOut)
		}
	}
	_, _ = fmt.Fprintf(errOut, "jasctl: unknown command %q\n", name)
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
	_, _ = fmt.Fprintln(out, "usage: jasctl COMMAND [flags] [arguments]; jasctl help COMMAND shows its flags")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(out, "  %-16s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprintln(out, "exit codes: 0 success, 1 failure, 2 invalid usage, 3 rejected by the cell,",
		"4 no instance reachable, 5 the job did not succeed")
}

// reportError prints the error, if any, and returns the exit code.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	var p *client.Problem
	switch {
	case errors.Is(err, errJobFailed):
		return exitJobFailed
	case errors.As(err, &p):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", p)
		for _, f := range p.Faults {
			_, _ = fmt.Fprintf(errOut, "  %s: %s\n", f.Path, f.Message)
		}
		if p.ActiveNote > 0 {
			_, _ = fmt.Fprintf(errOut, "  in force: note %d, digest %s\n", p.ActiveNote, p.Digest)
		}
		return exitRefused
	case errors.Is(err, client.ErrUnreachable):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", singleLine(err))
		return exitUnreachable
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", singleLine(err))
		return exitUsage
	}
	_, _ = fmt.Fprintf(errOut, "jasctl: %s\n", singleLine(err))
	return exitFailed
}

// singleLine returns the error message on one line.
func singleLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", " ")
}
