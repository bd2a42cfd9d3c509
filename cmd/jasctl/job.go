package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// maxPollWait bounds the wait of a single request, so that a long wait is spread
// over several requests.
const maxPollWait = 30 * time.Second

type submitFlags struct {
	id           string
	service      string
	count        int
	cpu          int64
	memory       int64
	accelerators int64
	idempotent   bool
	startWithin  time.Duration
	runTime      time.Duration
	maxAttempts  int
	payload      string
	wait         time.Duration
}

func newSubmitFlags(set *flag.FlagSet) *submitFlags {
	f := &submitFlags{}
	set.StringVar(&f.id, "request-id", "", "request `id`, a version 7 UUID (default: a generated one, printed first)")
	set.StringVar(&f.service, "service", "", "`service` to submit the job to")
	set.IntVar(&f.count, "tasks", 1, "number of tasks")
	set.Int64Var(&f.cpu, "milli-cpu", 1000, "CPU of each task, in thousandths of a core")
	set.Int64Var(&f.memory, "memory-mib", 256, "memory of each task, in MiB")
	set.Int64Var(&f.accelerators, "accelerators", 0, "accelerators of each task")
	set.BoolVar(&f.idempotent, "idempotent", false, "tasks may be run again after a failure")
	set.DurationVar(&f.startWithin, "start-within", 0, "the job is ended without running if it is not started within this time")
	set.DurationVar(&f.runTime, "run-time", 0, "declared run time")
	set.IntVar(&f.maxAttempts, "max-attempts", 0, "maximum number of failed attempts of each task")
	set.StringVar(&f.payload, "payload", "", "`file` whose content is passed to the tasks")
	set.DurationVar(&f.wait, "wait", 0, "how long to wait for the outcome")
	return f
}

type serviceFlags struct {
	service string
	wait    time.Duration
}

func newServiceFlags(set *flag.FlagSet) *serviceFlags {
	f := &serviceFlags{}
	set.StringVar(&f.service, "service", "", "`service` of the job, required without a key")
	set.DurationVar(&f.wait, "wait", 10*time.Minute, "how long job wait waits for the outcome")
	return f
}

type listFlags struct {
	live     bool
	limit    int
	allTeams bool
}

func newListFlags(set *flag.FlagSet) *listFlags {
	f := &listFlags{}
	set.BoolVar(&f.live, "live", false, "only jobs that are not over")
	set.IntVar(&f.limit, "most", 50, "maximum number of jobs to list")
	set.BoolVar(&f.allTeams, "all-teams", false, "jobs of all teams, through the operators' listener")
	return f
}

func jobSubmit(ctx context.Context, t *tool, args []string) error {
	_, extra, err := t.parse("job submit", args, 0)
	if err != nil {
		return err
	}
	f, ok := extra.(*submitFlags)
	if !ok || f.service == "" {
		return errors.Wrap(errUsage, "-service is required")
	}
	c, err := t.callersClient()
	if err != nil {
		return err
	}
	request, err := f.jobRequest()
	if err != nil {
		return err
	}
	if !t.asJSON {
		_, _ = fmt.Fprintln(t.out, "request-id", request.RequestID)
	}
	submitCtx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	view, err := c.Submit(submitCtx, request, 0)
	if err != nil {
		return err
	}
	if f.wait > 0 {
		view, err = waitForJob(ctx, c, request.RequestID, f.service, f.wait)
		if err != nil {
			return err
		}
	}
	return t.printJob(view, f.wait > 0)
}

func (f *submitFlags) jobRequest() (entry.JobRequest, error) {
	request := entry.JobRequest{
		RequestID:   f.id,
		Service:     f.service,
		Count:       f.count,
		Idempotent:  f.idempotent,
		StartWithin: note.Duration(f.startWithin),
		RunTime:     note.Duration(f.runTime),
		MaxAttempts: f.maxAttempts,
		Resources: quota.Resources{
			CPU:          quota.MilliCPU(f.cpu),
			Memory:       quota.MiB(f.memory),
			Accelerators: f.accelerators,
		},
	}
	if f.payload != "" {
		data, err := os.ReadFile(f.payload)
		if err != nil {
			return request, errors.Wrapf(errUsage, "payload: %s", err)
		}
		request.Payload = data
	}
	if request.RequestID == "" {
		id, err := dedup.NewID()
		if err != nil {
			return request, err
		}
		request.RequestID = id
	}
	return request, nil
}

// waitForJob polls the job, through any instance, until it is over.
func waitForJob(
	ctx context.Context, c *client.Client, id, service string, wait time.Duration,
) (entry.JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		remaining := wait
		if deadline, ok := ctx.Deadline(); ok {
			remaining = time.Until(deadline)
		}
		view, err := c.Get(ctx, id, service, min(remaining, maxPollWait))
		if err != nil || view.State == "over" || ctx.Err() != nil {
			return view, err
		}
	}
}

func jobGet(ctx context.Context, t *tool, args []string) error {
	return t.runJobCommand(ctx, "job get", args, func(ctx context.Context, c *client.Client, id string, f *serviceFlags) (entry.JobView, error) {
		ctx, cancel := context.WithTimeout(ctx, t.timeout())
		defer cancel()
		return c.Get(ctx, id, f.service, 0)
	})
}

func jobWait(ctx context.Context, t *tool, args []string) error {
	return t.runJobCommand(ctx, "job wait", args, func(ctx context.Context, c *client.Client, id string, f *serviceFlags) (entry.JobView, error) {
		return waitForJob(ctx, c, id, f.service, f.wait)
	})
}

func jobCancel(ctx context.Context, t *tool, args []string) error {
	return t.runJobCommand(ctx, "job cancel", args, func(ctx context.Context, c *client.Client, id string, f *serviceFlags) (entry.JobView, error) {
		ctx, cancel := context.WithTimeout(ctx, t.timeout())
		defer cancel()
		return c.Cancel(ctx, id, f.service)
	})
}

// runJobCommand calls the callers' API with the request id that is the only
// argument of the command, and prints the job.
func (t *tool) runJobCommand(
	ctx context.Context, name string, args []string,
	call func(context.Context, *client.Client, string, *serviceFlags) (entry.JobView, error),
) error {
	rest, extra, err := t.parse(name, args, 1)
	if err != nil {
		return err
	}
	f, ok := extra.(*serviceFlags)
	if !ok {
		return errUsage
	}
	c, err := t.callersClient()
	if err != nil {
		return err
	}
	view, err := call(ctx, c, rest[0], f)
	if err != nil {
		return err
	}
	return t.printJob(view, name == "job wait")
}

func jobList(ctx context.Context, t *tool, args []string) error {
	_, extra, err := t.parse("job list", args, 0)
	if err != nil {
		return err
	}
	f, ok := extra.(*listFlags)
	if !ok {
		return errUsage
	}
	connect := t.callersClient
	if f.allTeams {
		connect = t.operatorsClient
	}
	c, err := connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	jobs, err := c.List(ctx, f.live, f.limit)
	if err != nil {
		return err
	}
	return t.printJobs(jobs)
}

// printJob prints a job. If its outcome was waited for, any outcome other than
// success is an error.
func (t *tool) printJob(view entry.JobView, waited bool) error {
	if err := t.printJobs([]entry.JobView{view}); err != nil {
		return err
	}
	if waited && view.Outcome != "succeeded" {
		return errJobFailed
	}
	return nil
}

func (t *tool) printJobs(jobs []entry.JobView) error {
	rows := make([][]string, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, []string{
			j.RequestID, j.Service, j.Team, j.State, j.Outcome, j.Reason, j.Detail,
			strconv.Itoa(len(j.Tasks)), j.Admitted.Format(time.RFC3339),
		})
	}
	var value any = jobs
	if len(jobs) == 1 {
		value = jobs[0]
	}
	header := []string{"REQUEST-ID", "SERVICE", "TEAM", "STATE", "OUTCOME", "REASON", "DETAIL", "TASKS", "ADMITTED"}
	return t.print(value, header, rows)
}
