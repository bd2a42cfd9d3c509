package load

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/config"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
)

const formTimeout = 30 * time.Second

// Options says what to drive, and how.
type Options struct {
	Workload Workload
	Note     note.Note
	// Rate is in jobs a second; zero takes the workload's own times.
	Rate   float64
	Length time.Duration
	// The base URLs of a running cell. Without them one is started here.
	Callers   []string
	Targets   []string
	Operators []string
	Token     string
	// What the cell started here is like.
	Voters  int
	Entries int
	Delay   time.Duration
	// KillLeader kills the leader of the cell started here after the time.
	KillLeader time.Duration
	Change     func(*config.Settings)
}

// Drive runs the workload and reports.
func Drive(ctx context.Context, o Options) (Report, error) {
	if len(o.Callers) > 0 {
		return driveRunning(ctx, o)
	}
	return driveOwn(ctx, o)
}

func driveRunning(ctx context.Context, o Options) (Report, error) {
	cell := Cell{
		Callers: func(key string) *client.Client {
			return client.New(o.Callers, client.WithCredential(key))
		},
		Targets:   client.New(o.Targets),
		Operators: client.New(o.Operators, client.WithCredential(o.Token)),
	}
	return drive(ctx, o, cell, pagesOf(o.Operators), false, nil)
}

func pagesOf(bases []string) []string {
	pages := make([]string, 0, len(bases))
	for _, base := range bases {
		pages = append(pages, base+"/metrics")
	}
	return pages
}

// driveOwn starts a cell in this process and drives it.
func driveOwn(ctx context.Context, o Options) (Report, error) {
	folder, err := os.MkdirTemp("", "jasload-")
	if err != nil {
		return Report{}, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	forming, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	cfg := fake.CellConfig{
		DataDir:        folder,
		Voters:         o.Voters,
		Diskless:       o.Entries,
		ModifySettings: o.Change,
	}
	if o.Delay > 0 {
		cfg.Network = fake.NewNetwork(o.Delay)
	}
	own, err := fake.StartCell(forming, cfg)
	if err != nil {
		return Report{}, err
	}
	defer own.Kill()
	var bases []string
	for _, instance := range own.Instances {
		bases = append(bases, "http://"+instance.Settings.Operators.Listen)
	}
	cell := Cell{
		Callers:   own.CallerClient,
		Targets:   own.TargetClient(),
		Operators: own.OperatorClient(),
	}
	return drive(ctx, o, cell, pagesOf(bases), true, own)
}

func drive(
	ctx context.Context, o Options, cell Cell, pages []string, shared bool, own *fake.Cell,
) (Report, error) {
	runner := NewRunner(cell, o.Workload)
	defer runner.Close()
	if err := runner.Prepare(ctx, o.Note); err != nil {
		return Report{}, err
	}
	before, err := ReadCost(ctx, pages, shared)
	if err != nil {
		return Report{}, err
	}
	killed := make(chan time.Time, 1)
	if own != nil && o.KillLeader > 0 {
		time.AfterFunc(o.KillLeader, func() {
			if leader := own.Leader(); leader != nil {
				killed <- time.Now()
				leader.Kill()
			}
		})
	}
	if o.Rate > 0 {
		runner.RunRate(ctx, o.Rate, o.Length)
	} else {
		runner.Run(ctx)
	}
	report := runner.Report()
	select {
	case at := <-killed:
		pause := longestPause(runner.witness.AllRuns(), at, runner.ended)
		report.Recovery = float64(pause) / float64(time.Millisecond)
		return report, nil
	default:
	}
	// An instance that has gone meanwhile leaves the cost unknown.
	if after, err := ReadCost(ctx, pages, shared); err == nil {
		after.add(before, &report)
	}
	return report, nil
}
