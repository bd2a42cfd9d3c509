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
	answerTimeout = 60 * time.Second
	waitOnce      = 30 * time.Second
	noteWait      = 5 * time.Second
)

// Cell is how a run reaches the cell that it drives.
type Cell struct {
	// Callers makes a client that shows the key.
	Callers   func(key string) *client.Client
	Targets   *client.Client
	Operators *client.Client
}

// Runner drives a cell.
type Runner struct {
	cell     Cell
	workload Workload
	witness  *fake.Recorder
	targets  []*fake.Target
	keys     map[string]string
	teams    map[string]note.Team
	services map[string]note.Service
	clients  map[string]*client.Client

	mu      sync.Mutex
	answers []answer
	began   time.Time
	// handedIn is when the last job was handed in.
	handedIn time.Time
	ended    time.Time
}

// answer is what a caller was told.
type answer struct {
	request string
	group   JobGroup
	sent    time.Time
	admit   time.Duration
	view    entry.JobView
	err     error
}

// refused tells whether the cell refused the job.
func (a answer) refused() bool {
	var p *client.Problem
	return errors.As(a.err, &p) && !p.Retryable()
}

// NewRunner returns a runner of the workload.
func NewRunner(cell Cell, workload Workload) *Runner {
	return &Runner{
		cell:     cell,
		workload: workload,
		witness:  fake.NewRecorder(),
		keys:     map[string]string{},
		clients:  map[string]*client.Client{},
	}
}

// Prepare applies a release note for whatever of the sample note is not in
// force yet, with a fresh key for each team, and starts the targets.
func (r *Runner) Prepare(ctx context.Context, base note.Note) error {
	before, err := r.cell.Operators.InForce(ctx)
	if err != nil {
		return errors.Wrap(err, "read what is in force")
	}
	next, err := r.missing(base, before.InForce)
	if err != nil {
		return err
	}
	after, err := r.cell.Operators.ApplyNote(ctx, next, false, noteWait)
	if err != nil {
		return errors.Wrap(err, "apply release note")
	}
	r.teams = after.InForce.Teams
	r.services = after.InForce.Services
	for name, team := range r.teams {
		r.witness.SetLimit(name, team.Limit)
	}
	for name, service := range r.services {
		r.witness.SetOwner(name, service.Team)
		r.clients[name] = r.cell.Callers(r.keys[service.Team])
	}
	for _, cfg := range r.workload.Targets() {
		r.targets = append(r.targets, fake.StartTarget(cfg, r.cell.Targets, r.witness))
	}
	return r.awaitTargets(ctx)
}

// missing returns the note's changes that are not in force, and a key for
// each team.
func (r *Runner) missing(base note.Note, state *note.State) (note.Note, error) {
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
		shown, key, err := note.NewSecret(id, team)
		if err != nil {
			return note.Note{}, err
		}
		r.keys[team] = shown
		next.Changes = append(next.Changes, note.Change{
			Op:  note.OpAdd,
			Key: &key,
		})
	}
	return next, nil
}

func (r *Runner) awaitTargets(ctx context.Context) error {
	for {
		cell, err := r.cell.Operators.Cell(ctx)
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

// Run hands every job of the workload in at its time, whatever became of
// those before, and waits for all answers.
func (r *Runner) Run(ctx context.Context) {
	r.runPlan(ctx, r.workload.plan())
}

// RunRate hands jobs in at a steady rate for a time, taking the groups of
// the workload in turn by their numbers of jobs.
func (r *Runner) RunRate(ctx context.Context, rate float64, length time.Duration) {
	var mix []JobGroup
	for _, p := range r.workload.plan() {
		mix = append(mix, p.group)
	}
	count := int(rate * length.Seconds())
	all := make([]planned, 0, count)
	for i := range count {
		// A step prime to the length of the mix takes every entry in turn.
		all = append(all, planned{
			group: mix[(i*7919)%len(mix)],
			at:    time.Duration(float64(i) / rate * float64(time.Second)),
		})
	}
	r.runPlan(ctx, all)
}

func (r *Runner) runPlan(ctx context.Context, all []planned) {
	slices.SortStableFunc(all, func(a, b planned) int { return int(a.at - b.at) })
	var wait sync.WaitGroup
	r.began = time.Now()
	for _, p := range all {
		if pause := time.Until(r.began.Add(p.at)); pause > 0 {
			time.Sleep(pause)
		}
		if ctx.Err() != nil {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.submit(ctx, p.group)
		}()
	}
	r.handedIn = time.Now()
	wait.Wait()
	r.ended = time.Now()
}

func (r *Runner) firstStart(runs []fake.Run) time.Time {
	if len(runs) == 0 {
		return r.began
	}
	return runs[0].Started
}

func (r *Runner) submit(ctx context.Context, group JobGroup) {
	id, err := dedup.NewID()
	if err != nil {
		return
	}
	a := answer{
		request: id,
		group:   group,
		sent:    time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	caller := r.clients[group.Service]
	a.view, a.err = caller.Submit(ctx, r.job(id, group), 0)
	a.admit = time.Since(a.sent)
	if a.err == nil && group.CancelAt > 0 {
		r.cancelAt(ctx, caller, a.request, group)
	}
	for a.err == nil && a.view.State != "over" && ctx.Err() == nil {
		a.view, a.err = caller.Get(ctx, id, "", waitOnce)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (r *Runner) cancelAt(ctx context.Context, caller *client.Client, id string, group JobGroup) {
	time.Sleep(time.Until(r.began.Add(time.Duration(group.CancelAt))))
	_, _ = caller.Cancel(ctx, id, "")
}

func (r *Runner) job(id string, group JobGroup) entry.JobRequest {
	return entry.JobRequest{
		RequestID:  id,
		Service:    group.Service,
		Count:      max(group.Tasks, 1),
		Room:       group.Room,
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

// Close ends the targets.
func (r *Runner) Close() {
	var wait sync.WaitGroup
	for _, target := range r.targets {
		wait.Add(1)
		go func() {
			defer wait.Done()
			target.Kill()
		}()
	}
	wait.Wait()
}

// Report adds up what was told and seen.
func (r *Runner) Report() Report {
	runs := r.witness.AllRuns()
	byRequest := map[string][]fake.Run{}
	for _, run := range runs {
		byRequest[run.RequestID] = append(byRequest[run.RequestID], run)
	}
	broken := r.witness.Violations()
	report := Report{
		Jobs:          len(r.answers),
		DoubleRuns:    broken.DoubleRuns,
		OverCapacity:  broken.OverCapacity,
		OverLimit:     broken.OverLimit,
		WrongTeam:     broken.WrongTeam,
		Errors:        map[string]int{},
		Outcomes:      map[string]int{},
		WaitByService: map[string]float64{},
		Seconds:       r.ended.Sub(r.began).Seconds(),
	}
	report.PlacementsPerSecond = float64(len(runs)) / report.Seconds
	var waits, admits, refusals []time.Duration
	services := map[string][]time.Duration{}
	for _, a := range r.answers {
		report.count(a, byRequest[a.request])
		admits = append(admits, a.admit)
		if a.refused() {
			refusals = append(refusals, a.admit)
		}
		for _, run := range byRequest[a.request] {
			wait := run.Started.Sub(a.sent)
			waits = append(waits, wait)
			services[a.group.Service] = append(services[a.group.Service], wait)
		}
	}
	for service, all := range services {
		report.WaitByService[service] = quantile(all, 0.99)
	}
	report.WaitP50 = quantile(waits, 0.5)
	report.WaitP99 = quantile(waits, 0.99)
	report.AdmitP99 = quantile(admits, 0.99)
	report.RefuseP99 = quantile(refusals, 0.99)
	report.Packing, report.ShareDistance = r.usage(runs)
	report.Running = r.running(runs)
	report.LongestPause = float64(longestPause(runs, r.firstStart(runs), r.handedIn)) / float64(time.Millisecond)
	return report
}

// lostAs tells how an answer was lost.
func lostAs(a answer) string {
	var p *client.Problem
	switch {
	case errors.As(a.err, &p):
		return string(p.Code)
	case a.err != nil:
		return "unreachable"
	}
	return "still " + a.view.State
}

// count checks one answer against the runs that targets saw.
func (r *Report) count(a answer, runs []fake.Run) {
	if a.refused() {
		r.Refused++
		return
	}
	if a.err != nil || a.view.State != "over" {
		r.Lost++
		r.Errors[lostAs(a)]++
		return
	}
	r.Answered++
	r.Outcomes[a.view.Outcome]++
	if len(a.group.Expect) > 0 && !slices.Contains(a.group.Expect, a.view.Outcome) {
		r.Unexpected++
	}
	if a.view.Outcome == "not-run" && len(runs) > 0 {
		r.UntrueNotRun++
	}
	if !a.group.Idempotent && len(runs) > max(a.group.Tasks, 1) {
		r.DoubleRuns++
	}
	for _, task := range a.view.Tasks {
		whole := len(task.Output) == task.Length && strings.Contains(string(task.Output), a.request)
		if task.State == "succeeded" && !whole {
			r.WrongAnswers++
		}
	}
}
