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

// Scheduler is the scheduler of one instance. It holds the ledger, which is the
// state machine of the replicated log, and runs the leader while this instance
// leads. It also routes calls from the rest of the process to the leader.
type Scheduler struct {
	host *group.Host
	// cell is the part of the host that the leader and the relays use.
	cell    cell
	ledger  *graph.Ledger
	targets Targets
	advisor Advisor
	timing  Timing
	log     *logrus.Logger
	metrics *metrics
	// answers are the advisor's latest answers to calls of this instance.
	answers *answerStore
	// domains are the failure domains that may be evacuated. If it is empty, those of
	// known targets may.
	domains []string
	// maxJobBytes bounds the memory that jobs take; zero means no limit.
	maxJobBytes   int64
	calls         callRoom
	currentLeader atomic.Pointer[leader]
	// configuredAt is when the configuration came into force here, in Unix
	// milliseconds.
	configuredAt atomic.Int64
}

var _ raft.StateMachine = (*Scheduler)(nil)

// Option sets an optional property of a Scheduler.
type Option func(*Scheduler)

// WithFailureDomains sets the failure domains that may be evacuated. Without it those of
// known targets may.
func WithFailureDomains(domains []string) Option {
	return func(s *Scheduler) { s.domains = domains }
}

// WithMaxJobBytes bounds the memory that all jobs take on a replica, in bytes. Submissions
// beyond it are refused. Without it there is no bound.
func WithMaxJobBytes(bytes int64) Option {
	return func(s *Scheduler) {
		s.maxJobBytes = bytes
		s.calls.limit = bytes
	}
}

// NewScheduler returns a scheduler that calls targets and the advisor through
// the given interfaces.
func NewScheduler(
	cfg group.Config, timing Timing, targets Targets, advisor Advisor, log *logrus.Logger, options ...Option,
) (*Scheduler, error) {
	s := newScheduler(timing, targets, advisor, log)
	for _, option := range options {
		option(s)
	}
	cfg.OnLostLead = func(reason raft.LossReason) { s.metrics.leadsLost.WithLabelValues(string(reason)).Inc() }
	cfg.OnLogSync = func(took time.Duration) { s.metrics.logSync.Observe(took.Seconds()) }
	host, err := group.NewHost(cfg, s, log)
	if err != nil {
		return nil, err
	}
	s.host = host
	s.cell = hostedCell{host}
	s.AddGauge("jasmineward_job_bytes", "Estimated memory that the jobs in the ledger take.",
		func() float64 { total, _ := s.ledger.Stored(""); return float64(total) })
	s.addGroupGauges(host)
	s.metrics.addCounter("jasmineward_raft_resent_total", "Messages of the log sent again as a connection was overdue.",
		func() float64 { return float64(host.ResentMessages()) })
	if err := host.Server().RegisterConcurrent(rpcServiceName, &rpcService{scheduler: s}); err != nil {
		return nil, err
	}
	return s, nil
}

// newScheduler returns a scheduler that belongs to no cell yet.
func newScheduler(timing Timing, targets Targets, advisor Advisor, log *logrus.Logger) *Scheduler {
	s := &Scheduler{
		ledger:  graph.NewLedger(),
		targets: targets,
		advisor: advisor,
		timing:  timing,
		log:     log,
		metrics: newMetrics(),
		answers: &answerStore{},
	}
	s.metrics.addLedgerGauges(s.ledger)
	s.AddGauge("jasmineward_targets_silent", "Targets that did not answer this leader's last call.", s.silentTargets)
	s.AddGauge("jasmineward_targets_cold", "Targets that are slow after their start, as this leader knows.", s.coldTargets)
	s.AddGauge("jasmineward_configuration_age_seconds", "Time since the configuration came into force here.",
		func() float64 { return ageSeconds(graph.Millis(s.configuredAt.Load()), time.Now()) })
	return s
}

// Host returns the group's host.
func (s *Scheduler) Host() *group.Host {
	return s.host
}

// Run starts the host.
func (s *Scheduler) Run() error {
	return s.host.Run()
}

// Stop cancels the leader's work, if any, and stops the host.
func (s *Scheduler) Stop() {
	if l := s.currentLeader.Load(); l != nil {
		l.cancel()
	}
	s.host.Stop()
}

// Apply applies a committed command. A command that can't be decoded changes
// nothing, on every replica alike.
func (s *Scheduler) Apply(_ uint64, data []byte) any {
	command, err := graph.DecodeCommand(data)
	if err != nil {
		s.log.WithError(err).Error("sched: ignored a command that could not be decoded")
		return err
	}
	result := s.ledger.Apply(command)
	if l := s.currentLeader.Load(); l != nil && command.Place != nil {
		l.wakeUncertain(command.Place)
	}
	if command.Config != nil {
		s.configuredAt.Store(time.Now().UnixMilli())
		s.log.WithField("version", command.Config.Version).Info("config: in the log")
	}
	return result
}

// Snapshot returns a function that returns the encoded state.
func (s *Scheduler) Snapshot() func() ([]byte, error) {
	return s.ledger.Snapshot()
}

// Restore replaces the state.
func (s *Scheduler) Restore(state []byte) error {
	s.configuredAt.Store(time.Now().UnixMilli())
	return s.ledger.Restore(state)
}

// BecameLeader starts the leader of the term.
func (s *Scheduler) BecameLeader(term uint64) {
	s.log.WithField("term", term).Info("sched: leading")
	s.metrics.leading.Set(1)
	s.metrics.electionsWon.Inc()
	l := newLeader(s, term)
	s.currentLeader.Store(l)
	l.start()
}

// silentTargets counts the targets that did not answer the last call.
func (s *Scheduler) silentTargets() float64 {
	l := s.currentLeader.Load()
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
func (s *Scheduler) LostLeadership() {
	s.log.Info("sched: no longer leading")
	s.metrics.leading.Set(0)
	if l := s.currentLeader.Swap(nil); l != nil {
		l.stop()
	}
}

// confirmedLeader returns the leader after the replica has confirmed that the
// ledger is up to date for a linearizable read.
func (s *Scheduler) confirmedLeader(ctx context.Context) (*leader, *wire.Fault) {
	l := s.currentLeader.Load()
	if l == nil {
		return nil, wire.NewFault(wire.CodeNotLeader, "")
	}
	if err := s.cell.Read(ctx); err != nil {
		return nil, wire.NewFault(wire.CodeUnavailable, err.Error())
	}
	return l, nil
}

// Ready reports whether calls can be served, which is so if the leader has
// replied within the given time.
func (s *Scheduler) Ready(within time.Duration) bool {
	return s.host.IsLeaderReachable(within)
}
