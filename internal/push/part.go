package push

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Scheduler is the scheduler of one instance. It holds the ledger, which is the state
// machine of the replicated log, and runs the leader while this instance leads.
// It also routes calls from the rest of the process to the leader.
type Scheduler struct {
	host          *group.Host
	ledger        *graph.Ledger
	targets       Targets
	advisor       Advisor
	terms         Timing
	log           *logrus.Logger
	metrics       *metrics
	currentLeader atomic.Pointer[leader]
	// configuredAt is when the configuration came into force here, in Unix
	// milliseconds.
	configuredAt atomic.Int64
}

var _ raft.StateMachine = (*Scheduler)(nil)

// NewScheduler returns a scheduler that calls targets and the advisor through the
// given interfaces.
func NewScheduler(cfg group.Config, terms Timing, targets Targets, advisor Advisor, log *logrus.Logger) (*Scheduler, error) {
	p := &Scheduler{
		ledger:  graph.NewLedger(),
		targets: targets,
		advisor: advisor,
		terms:   terms,
		log:     log,
		metrics: newMetrics(),
	}
	p.metrics.addLedgerGauges(p.ledger)
	p.AddGauge("jasmineward_targets_silent", "Targets that did not answer this leader's last call.", p.silentTargets)
	p.AddGauge("jasmineward_configuration_age_seconds", "Time since the configuration came into force here.",
		func() float64 { return ageSeconds(graph.Millis(p.configuredAt.Load()), time.Now()) })
	cfg.OnLogSync = func(took time.Duration) { p.metrics.logSync.Observe(took.Seconds()) }
	host, err := group.NewHost(cfg, p, log)
	if err != nil {
		return nil, err
	}
	p.host = host
	if err := host.Server().RegisterConcurrent(rpcServiceName, &rpcService{part: p}); err != nil {
		return nil, err
	}
	return p, nil
}

// Host returns the group's host.
func (p *Scheduler) Host() *group.Host {
	return p.host
}

// Run starts the host.
func (p *Scheduler) Run() error {
	return p.host.Run()
}

// Stop cancels the leader's work, if any, and stops the host.
func (p *Scheduler) Stop() {
	if l := p.currentLeader.Load(); l != nil {
		l.cancel()
	}
	p.host.Stop()
}

// Apply applies a committed command. A command that can't be decoded changes
// nothing, on every replica alike.
func (p *Scheduler) Apply(_ uint64, data []byte) any {
	command, err := graph.DecodeCommand(data)
	if err != nil {
		p.log.WithError(err).Error("sched: ignored a command that could not be decoded")
		return err
	}
	result := p.ledger.Apply(command)
	if command.Config != nil {
		p.configuredAt.Store(time.Now().UnixMilli())
		p.log.WithField("version", command.Config.Version).Info("config: in the log")
	}
	return result
}

// Snapshot returns a function that returns the encoded state.
func (p *Scheduler) Snapshot() func() ([]byte, error) {
	return p.ledger.Snapshot()
}

// Restore replaces the state.
func (p *Scheduler) Restore(state []byte) error {
	p.configuredAt.Store(time.Now().UnixMilli())
	return p.ledger.Restore(state)
}

// BecameLeader starts the leader of the term.
func (p *Scheduler) BecameLeader(term uint64) {
	p.log.WithField("term", term).Info("sched: leading")
	p.metrics.leading.Set(1)
	p.metrics.electionsWon.Inc()
	l := newLeader(p, term)
	p.currentLeader.Store(l)
	l.start()
}

// silentTargets counts the targets that did not answer the last call.
func (p *Scheduler) silentTargets() float64 {
	l := p.currentLeader.Load()
	if l == nil {
		return 0
	}
	count := 0.0
	for _, d := range l.allDrivers() {
		if d.lastCallFailed() {
			count++
		}
	}
	return count
}

// LostLeadership stops the leader.
func (p *Scheduler) LostLeadership() {
	p.log.Info("sched: no longer leading")
	p.metrics.leading.Set(0)
	if l := p.currentLeader.Swap(nil); l != nil {
		l.stop()
	}
}

// confirmedLeader returns the leader after the replica has confirmed that the
// ledger is up to date for a linearizable read.
func (p *Scheduler) confirmedLeader(ctx context.Context) (*leader, *wire.Fault) {
	l := p.currentLeader.Load()
	if l == nil {
		return nil, wire.NewFault(wire.CodeNotLeader, "")
	}
	if err := p.host.Replica().Read(ctx); err != nil {
		return nil, wire.NewFault(wire.CodeUnavailable, err.Error())
	}
	return l, nil
}

// Ready reports whether calls can be served.
func (p *Scheduler) Ready(within time.Duration) bool {
	return p.host.IsLeaderReachable(within)
}
