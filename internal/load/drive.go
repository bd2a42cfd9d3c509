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

const startTimeout = 30 * time.Second

// Options configures a load test.
type Options struct {
	Workload Workload
	Note     note.Note
	// Rate is the number of jobs per second. Zero means the submission times of
	// the workload.
	Rate     float64
	Duration time.Duration
	// Callers, Targets and Operators are the base URLs of a running cell. Without
	// Callers, a cell is started in this process.
	Callers   []string
	Targets   []string
	Operators []string
	// Token authenticates at the operator listeners of a running cell.
	Token string
	// Voters, DisklessInstances and Delay configure a cell started in this
	// process: the numbers of voters and of diskless instances, and the one-way
	// network delay.
	Voters            int
	DisklessInstances int
	Delay             time.Duration
	// KillLeader is the time after which the leader of a cell started in this
	// process is killed. Zero means never.
	KillLeader time.Duration
	// ModifySettings, if set, changes the settings of instances started in this
	// process.
	ModifySettings func(*config.Settings)
}

// RunLoad runs the workload and returns the results.
func RunLoad(ctx context.Context, o Options) (Report, error) {
	if len(o.Callers) > 0 {
		return driveExisting(ctx, o)
	}
	return driveInProcess(ctx, o)
}

func driveExisting(ctx context.Context, o Options) (Report, error) {
	clients := Clients{
		NewCallerClient: func(key string) *client.Client {
			return client.New(o.Callers, client.WithCredential(key))
		},
		TargetClient:   client.New(o.Targets),
		OperatorClient: client.New(o.Operators, client.WithCredential(o.Token)),
	}
	return drive(ctx, o, clients, metricsURLs(o.Operators), false, nil)
}

func metricsURLs(baseURLs []string) []string {
	urls := make([]string, 0, len(baseURLs))
	for _, baseURL := range baseURLs {
		urls = append(urls, baseURL+"/metrics")
	}
	return urls
}

// driveInProcess starts a cell in this process and runs the workload on it.
func driveInProcess(ctx context.Context, o Options) (Report, error) {
	dataDir, err := os.MkdirTemp("", "jasload-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create data directory")
	}
	defer func() { _ = os.RemoveAll(dataDir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cfg := fake.CellConfig{
		DataDir:        dataDir,
		Voters:         o.Voters,
		Diskless:       o.DisklessInstances,
		ModifySettings: o.ModifySettings,
	}
	if o.Delay > 0 {
		cfg.Network = fake.NewNetwork(o.Delay)
	}
	cell, err := fake.StartCell(startCtx, cfg)
	if err != nil {
		return Report{}, err
	}
	defer cell.Kill()
	var baseURLs []string
	for _, instance := range cell.Instances {
		baseURLs = append(baseURLs, "http://"+instance.Settings.Operators.Listen)
	}
	clients := Clients{
		NewCallerClient: cell.CallerClient,
		TargetClient:    cell.TargetClient(),
		OperatorClient:  cell.OperatorClient(),
	}
	return drive(ctx, o, clients, metricsURLs(baseURLs), true, cell)
}

// drive runs the workload with the clients and adds the usage of the control
// plane, read from the URLs of the metrics endpoints, to the report. The cell is
// nil if it does not run in this process.
func drive(
	ctx context.Context, o Options, clients Clients, urls []string, sharedProcess bool, cell *fake.Cell,
) (Report, error) {
	runner := NewRunner(clients, o.Workload)
	defer runner.Close()
	if err := runner.Prepare(ctx, o.Note); err != nil {
		return Report{}, err
	}
	before, err := SampleMetrics(ctx, urls, sharedProcess)
	if err != nil {
		return Report{}, err
	}
	killedAt := make(chan time.Time, 1)
	if cell != nil && o.KillLeader > 0 {
		time.AfterFunc(o.KillLeader, func() {
			if leader := cell.Leader(); leader != nil {
				killedAt <- time.Now()
				leader.Kill()
			}
		})
	}
	if o.Rate > 0 {
		runner.RunAtRate(ctx, o.Rate, o.Duration)
	} else {
		runner.Run(ctx)
	}
	report := runner.Report()
	select {
	case at := <-killedAt:
		pause := longestPause(runner.recorder.AllRuns(), at, runner.endedAt)
		report.Recovery = float64(pause) / float64(time.Millisecond)
		return report, nil
	default:
	}
	// If an instance became unreachable during the run, the usage is unknown and
	// left out.
	if after, err := SampleMetrics(ctx, urls, sharedProcess); err == nil {
		after.fillReport(before, &report)
	}
	return report, nil
}
