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

// Part is one instance's part in scheduling: the ledger that the log is
// applied to, and the leader's work while it leads. It is also the way by
// which other parts of the process reach the leader.
type Part struct {
	host    *group.Host
	ledger  *graph.Ledger
	targets Targets
	advisor Advisor
	terms   Terms
	log     *logrus.Logger
	metrics *metrics
	lead    atomic.Pointer[leader]
	// configured is when the configuration came into force here, in milliseconds
	// of the time of day.
	configured atomic.Int64
}

var _ raft.StateMachine = (*Part)(nil)

// NewPart returns a part that calls targets and the advisor through the
// ports given.
func NewPart(cfg group.Config, terms Terms, targets Targets, advisor Advisor, log *logrus.Logger) (*Part, error) {
	p := &Part{
		ledger:  graph.NewLedger(),
		targets: targets,
		advisor: advisor,
		terms:   terms,
		log:     log,
		metrics: newMetrics(),
	}
	p.metrics.gauges(p.ledger)
	p.Watch("jasmineward_targets_silent", "Targets that did not answer this leader's last call.", p.silent)
	p.Watch("jasmineward_configuration_age_seconds", "Time since the configuration came into force here.",
		func() float64 { return ageOf(graph.Millis(p.configured.Load()), time.Now()) })
	cfg.Synced = func(took time.Duration) { p.metrics.sync.Observe(took.Seconds()) }
	host, err := group.NewHost(cfg, p, log)
	if err != nil {
		return nil, err
	}
	p.host = host
	if err := host.Server().Concurrent(service, &calls{part: p}); err != nil {
		return nil, err
	}
	return p, nil
}

// Host returns the group's host.
func (p *Part) Host() *group.Host {
	return p.host
}

// Run starts the part.
func (p *Part) Run() error {
	return p.host.Run()
}

// Stop ends the part.
func (p *Part) Stop() {
	if l := p.lead.Load(); l != nil {
		l.cancel()
	}
	p.host.Stop()
}

// Apply applies a command. One that can't be decoded changes nothing, on
// every replica alike.
func (p *Part) Apply(_ uint64, data []byte) any {
	command, err := graph.DecodeCommand(data)
	if err != nil {
		p.log.WithError(err).Error("sched: passed over a command")
		return err
	}
	result := p.ledger.Apply(command)
	if command.Config != nil {
		p.configured.Store(time.Now().UnixMilli())
		p.log.WithField("version", command.Config.Version).Info("config: in the log")
	}
	return result
}

// Capture returns a function that returns the encoded state.
func (p *Part) Capture() func() ([]byte, error) {
	return p.ledger.Capture()
}

// Restore replaces the state.
func (p *Part) Restore(state []byte) error {
	p.configured.Store(time.Now().UnixMilli())
	return p.ledger.Restore(state)
}

// Leading starts the leader's work.
func (p *Part) Leading(term uint64) {
	p.log.WithField("term", term).Info("sched: leading")
	p.metrics.leading.Set(1)
	p.metrics.won.Inc()
	l := newLeader(p, term)
	p.lead.Store(l)
	l.start()
}

// silent counts the targets that did not answer when last called.
func (p *Part) silent() float64 {
	l := p.lead.Load()
	if l == nil {
		return 0
	}
	count := 0.0
	for _, d := range l.all() {
		if d.unanswered() {
			count++
		}
	}
	return count
}

// Following stops the leader's work.
func (p *Part) Following() {
	p.log.Info("sched: no longer leading")
	p.metrics.leading.Set(0)
	if l := p.lead.Swap(nil); l != nil {
		l.stop()
	}
}

// leading returns the leader's work when all that it knows is sure to be the
// newest.
func (p *Part) leading(ctx context.Context) (*leader, *wire.Fault) {
	l := p.lead.Load()
	if l == nil {
		return nil, wire.Newf(wire.CodeNotLeader, "")
	}
	if err := p.host.Replica().Read(ctx); err != nil {
		return nil, wire.Newf(wire.CodeUnavailable, err.Error())
	}
	return l, nil
}

// Ready tells whether calls can be served.
func (p *Part) Ready(within time.Duration) bool {
	return p.host.Reachable(within)
}
