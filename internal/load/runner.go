package load

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
)

const (
	resultTimeout   = 60 * time.Second
	longPollTimeout = 30 * time.Second
	noteTimeout     = 5 * time.Second
)

// Clients holds the clients of the cell under test.
type Clients struct {
	// NewCallerClient returns a client that authenticates with the API key.
	NewCallerClient func(key string) *client.Client
	TargetClient    *client.Client
	OperatorClient  *client.Client
}

// Runner runs a workload on a cell and collects the results.
type Runner struct {
	clients  Clients
	workload Workload
	recorder *fake.Recorder
	targets  []*fake.Target
	keys     map[string]string
	teams    map[string]note.Team
	services map[string]note.Service
	// callerClients holds a client for each service, with the key of its team.
	callerClients map[string]*client.Client

	mu        sync.Mutex
	results   []jobResult
	startedAt time.Time
	// lastSubmitAt is when the last job was submitted.
	lastSubmitAt time.Time
	endedAt      time.Time
}

// jobResult is the result that a caller received for a job.
type jobResult struct {
	requestID string
	group     JobGroup
	sentAt    time.Time
	admitTime time.Duration
	view      entry.JobView
	err       error
}

// refused reports whether the cell refused the job with an error that is not
// retryable.
func (j jobResult) refused() bool {
	var problem *client.Problem
	return errors.As(j.err, &problem) && !problem.Retryable()
}

// NewRunner returns a runner of the workload on the cell.
func NewRunner(clients Clients, workload Workload) *Runner {
	return &Runner{
		clients:       clients,
		workload:      workload,
		recorder:      fake.NewRecorder(),
		keys:          map[string]string{},
		callerClients: map[string]*client.Client{},
	}
}

// Prepare applies a release note with the changes of the base note that are not
// in force yet and a new key for each team. It then starts the targets and waits
// until they have announced themselves.
func (r *Runner) Prepare(ctx context.Context, base note.Note) error {
	before, err := r.clients.OperatorClient.ActiveConfig(ctx)
	if err != nil {
		return errors.Wrap(err, "read configuration in force")
	}
	next, err := r.missingChanges(base, before.InForce)
	if err != nil {
		return err
	}
	after, err := r.clients.OperatorClient.ApplyNote(ctx, next, false, noteTimeout)
	if err != nil {
		return errors.Wrap(err, "apply release note")
	}
	r.teams = after.InForce.Teams
	r.services = after.InForce.Services
	for name, team := range r.teams {
		r.recorder.SetLimit(name, team.Limit)
	}
	for name, service := range r.services {
		r.recorder.SetOwner(name, service.Team)
		r.callerClients[name] = r.clients.NewCallerClient(r.keys[service.Team])
	}
	for _, cfg := range r.workload.Targets() {
		r.targets = append(r.targets, fake.StartTarget(cfg, r.clients.TargetClient, r.recorder))
	}
	return r.waitForTargets(ctx)
}

// missingChanges returns a note with the changes of the base note that are not in
// force and a new key for each team.
func (r *Runner) missingChanges(base note.Note, state *note.State) (note.Note, error) {
	next := note.Note{
		Number:  state.Number + 1,
		Comment: base.Comment,
	}
	var teams []string
	for _, change := range base.Changes {
		if change.Team != nil {
			teams = append(teams, change.Team.Name)
			if _, ok := state.Teams[change.Team.Name]; ok {
				continue
			}
		}
		if change.Service != nil {
			if _, ok := state.Services[change.Service.Name]; ok {
				continue
			}
		}
		next.Changes = append(next.Changes, change)
	}
	for _, team := range teams {
		id := fmt.Sprintf("%s-load-%d", team, next.Number)
		secret, key, err := note.NewKey(id, team)
		if err != nil {
			return note.Note{}, err
		}
		r.keys[team] = secret
		next.Changes = append(next.Changes, note.Change{
			Op:  note.OpAdd,
			Key: &key,
		})
	}
	return next, nil
}

func (r *Runner) waitForTargets(ctx context.Context) error {
	for {
		cell, err := r.clients.OperatorClient.Cell(ctx)
		if err != nil {
			return errors.Wrap(err, "wait for targets")
		}
		if len(cell.Targets) >= len(r.targets) {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for targets")
		}
	}
}

// Run submits every job of the workload at its scheduled time, independently of
// the results of earlier jobs, and waits for all results.
func (r *Runner) Run(ctx context.Context) {
	r.submitAll(ctx, r.workload.schedule())
}

// RunAtRate submits jobs at a steady rate for the given time. It mixes the
// groups of the workload in proportion to their numbers of jobs.
func (r *Runner) RunAtRate(ctx context.Context, rate float64, duration time.Duration) {
	var groups []JobGroup
	for _, job := range r.workload.schedule() {
		groups = append(groups, job.group)
	}
	count := int(rate * duration.Seconds())
	jobs := make([]scheduledJob, 0, count)
	for i := range count {
		// The stride is a prime, so it reaches every entry in turn unless the
		// number of entries is a multiple of it.
		jobs = append(jobs, scheduledJob{
			group:  groups[(i*7919)%len(groups)],
			offset: time.Duration(float64(i) / rate * float64(time.Second)),
		})
	}
	r.submitAll(ctx, jobs)
}

func (r *Runner) submitAll(ctx context.Context, jobs []scheduledJob) {
	slices.SortStableFunc(jobs, func(a, b scheduledJob) int { return int(a.offset - b.offset) })
	var wg sync.WaitGroup
	r.startedAt = time.Now()
	for _, job := range jobs {
		if pause := time.Until(r.startedAt.Add(job.offset)); pause > 0 {
			time.Sleep(pause)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.submitAndWait(ctx, job.group)
		}()
	}
	r.lastSubmitAt = time.Now()
	wg.Wait()
	r.endedAt = time.Now()
}

// firstStart returns the time of the first task start, or the start of the load
// test if no task started.
func (r *Runner) firstStart(runs []fake.Run) time.Time {
	if len(runs) == 0 {
		return r.startedAt
	}
	return runs[0].Started
}

func (r *Runner) submitAndWait(ctx context.Context, group JobGroup) {
	id, err := dedup.NewID()
	if err != nil {
		return
	}
	result := jobResult{
		requestID: id,
		group:     group,
		sentAt:    time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	callerClient := r.callerClients[group.Service]
	result.view, result.err = callerClient.Submit(ctx, r.jobRequest(id, group), 0)
	result.admitTime = time.Since(result.sentAt)
	if result.err == nil && group.CancelAt > 0 {
		r.cancelAt(ctx, callerClient, result.requestID, group)
	}
	for result.err == nil && result.view.State != "over" && ctx.Err() == nil {
		result.view, result.err = callerClient.Get(ctx, id, "", longPollTimeout)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *Runner) cancelAt(ctx context.Context, callerClient *client.Client, id string, group JobGroup) {
	time.Sleep(time.Until(r.startedAt.Add(time.Duration(group.CancelAt))))
	_, _ = callerClient.Cancel(ctx, id, "")
}

func (r *Runner) jobRequest(id string, group JobGroup) entry.JobRequest {
	return entry.JobRequest{
		RequestID:  id,
		Service:    group.Service,
		Count:      max(group.Tasks, 1),
		Resources:  group.Resources,
		Idempotent: group.Idempotent,
		RunTime:    group.RunTime,

		StartWithin: group.StartWithin,
		Payload: fake.TaskSpec{
			RequestID: id,
			RunMillis: time.Duration(group.RunTime).Milliseconds(),
			Forever:   group.Forever,
		}.Encode(),
	}
}

// Close kills the targets.
func (r *Runner) Close() {
	var wg sync.WaitGroup
	for _, target := range r.targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			target.Kill()
		}()
	}
	wg.Wait()
}

// Report summarizes the callers' results and the recorded runs.
func (r *Runner) Report() Report {
	runs := r.recorder.AllRuns()
	byRequest := map[string][]fake.Run{}
	for _, run := range runs {
		byRequest[run.RequestID] = append(byRequest[run.RequestID], run)
	}
	violations := r.recorder.Violations()
	report := Report{
		Jobs:          len(r.results),
		DoubleRuns:    violations.DoubleRuns,
		OverCapacity:  violations.OverCapacity,
		OverLimit:     violations.OverLimit,
		WrongTeam:     violations.WrongTeam,
		Errors:        map[string]int{},
		Outcomes:      map[string]int{},
		WaitByService: map[string]float64{},
		Seconds:       r.endedAt.Sub(r.startedAt).Seconds(),
	}
	report.PlacementsPerSecond = float64(len(runs)) / report.Seconds
	var waits, admitTimes, refusalTimes []time.Duration
	waitsByService := map[string][]time.Duration{}
	for _, result := range r.results {
		report.addResult(result, byRequest[result.requestID])
		admitTimes = append(admitTimes, result.admitTime)
		if result.refused() {
			refusalTimes = append(refusalTimes, result.admitTime)
		}
		for _, run := range byRequest[result.requestID] {
			wait := run.Started.Sub(result.sentAt)
			waits = append(waits, wait)
			waitsByService[result.group.Service] = append(waitsByService[result.group.Service], wait)
		}
	}
	for service, all := range waitsByService {
		report.WaitByService[service] = quantile(all, 0.99)
	}
	report.WaitP50 = quantile(waits, 0.5)
	report.WaitP99 = quantile(waits, 0.99)
	report.AdmitP99 = quantile(admitTimes, 0.99)
	report.RefuseP99 = quantile(refusalTimes, 0.99)
	report.Packing, report.ShareDistance = r.usage(runs)
	report.MeanRunningTasks = r.meanRunning(runs)
	report.LongestPause = float64(longestPause(runs, r.firstStart(runs), r.lastSubmitAt)) / float64(time.Millisecond)
	return report
}

// lossReason returns why a job has no final result.
func lossReason(result jobResult) string {
	var problem *client.Problem
	switch {
	case errors.As(result.err, &problem):
		return string(problem.Code)
	case result.err != nil:
		return "unreachable"
	}
	return "still " + result.view.State
}

// addResult checks one result against the recorded runs and counts it.
func (r *Report) addResult(result jobResult, runs []fake.Run) {
	if result.refused() {
		r.Refused++
		return
	}
	if result.err != nil || result.view.State != "over" {
		r.Lost++
		r.Errors[lossReason(result)]++
		return
	}
	r.Answered++
	r.Outcomes[result.view.Outcome]++
	if len(result.group.Expect) > 0 && !slices.Contains(result.group.Expect, result.view.Outcome) {
		r.UnexpectedOutcomes++
	}
	if result.view.Outcome == "not-run" && len(runs) > 0 {
		r.FalseNotRun++
	}
	if !result.group.Idempotent && len(runs) > max(result.group.Tasks, 1) {
		r.DoubleRuns++
	}
	for _, task := range result.view.Tasks {
		complete := len(task.Output) == task.Length && strings.Contains(string(task.Output), result.requestID)
		if task.State == "succeeded" && !complete {
			r.WrongAnswers++
		}
	}
}
