package trace

import (
	"math"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const sampleInterval = time.Second

// Result holds the metrics of a replay.
type Result struct {
	Jobs      int `json:"jobs"`
	EndedJobs int `json:"answered"`
	Refused   int `json:"refused"`
	// InvalidPlacements counts placements that the ledger rejected.
	InvalidPlacements int            `json:"wrong-placements"`
	Preemptions       int            `json:"preemptions"`
	Outcomes          map[string]int `json:"outcomes"`
	// WaitTimes holds the wait times of first attempts by service kind.
	WaitTimes map[string]Wait `json:"waits"`
	// CPUUtilization is the mean fraction of the fleet's CPU in use during the
	// submission period. BatchCoreSeconds is the run time times the reserved
	// cores of the batch runs that ended in it.
	CPUUtilization   float64 `json:"packing"`
	BatchCoreSeconds float64 `json:"batch-core-seconds"`
	// ShareDistance is half the sum over all teams of the absolute difference
	// between a team's usage and its configured share, after the warm-up.
	ShareDistance float64 `json:"share-distance"`
	// MaxShareDifference is the largest of these differences.
	MaxShareDifference float64 `json:"worst-share"`
	// MeanDecisionMicros and P99DecisionMicros are the time per decision, in
	// microseconds.
	MeanDecisionMicros float64  `json:"decide-mean-us"`
	P99DecisionMicros  float64  `json:"decide-p99-us"`
	Samples            []Sample `json:"-"`
}

// Wait is a distribution of wait times, in milliseconds.
type Wait struct {
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Count int     `json:"count"`
}

// Sample is a snapshot of the metrics at a time of the trace.
type Sample struct {
	Elapsed        time.Duration
	CPUUtilization float64
	TeamShares     map[string]float64
	WaitP99        float64
}

// replayMetrics accumulates the metrics of a replay.
type replayMetrics struct {
	trace             Trace
	end               time.Time
	waitingTasks      int
	refusedJobs       int
	invalidPlacements int
	preemptions       int
	lastUpdate        time.Time
	used              quota.Resources
	usedByTeam        map[string]quota.Resources
	cpuTime           float64
	teamShareTime     map[string]float64
	totalShareTime    float64
	batchCoreSeconds  float64
	waitsByKind       map[string][]float64
	recentWaits       []float64
	decisionMicros    []float64
	decisionTime      time.Duration
	decisions         int
	samples           []Sample
}

func newReplayMetrics(t Trace) *replayMetrics {
	return &replayMetrics{
		trace:         t,
		end:           Epoch.Add(time.Duration(t.DurationMillis) * time.Millisecond),
		lastUpdate:    Epoch,
		usedByTeam:    map[string]quota.Resources{},
		teamShareTime: map[string]float64{},
		waitsByKind:   map[string][]float64{},
	}
}

// warmupEnd returns the time by which the fleet has filled up. Team shares are
// measured from then on.
func (m *replayMetrics) warmupEnd() time.Time {
	return Epoch.Add(time.Duration(m.trace.DurationMillis) * time.Millisecond / 4)
}

// advance accumulates the resource usage since the last update and takes the
// samples that are due.
func (m *replayMetrics) advance(now time.Time) {
	for at := m.lastUpdate.Truncate(sampleInterval).Add(sampleInterval); !at.After(now) && !at.After(m.end); at = at.Add(sampleInterval) {
		m.sample(at)
	}
	from, to := m.lastUpdate, now
	m.lastUpdate = now
	if to.After(m.end) {
		to = m.end
	}
	seconds := to.Sub(from).Seconds()
	if seconds <= 0 {
		return
	}
	m.cpuTime += seconds * float64(m.used.CPU)
	if from.Before(m.warmupEnd()) {
		return
	}
	for team, resources := range m.usedByTeam {
		m.teamShareTime[team] += seconds * resources.DominantShare(m.trace.Total)
		m.totalShareTime += seconds * resources.DominantShare(m.trace.Total)
	}
}

func (m *replayMetrics) sample(at time.Time) {
	sample := Sample{
		Elapsed:        at.Sub(Epoch),
		CPUUtilization: float64(m.used.CPU) / float64(m.trace.Total.CPU),
		TeamShares:     map[string]float64{},
		WaitP99:        quantile(m.recentWaits, 0.99),
	}
	for _, team := range m.trace.Teams {
		sample.TeamShares[team.Name] = m.usedByTeam[team.Name].DominantShare(m.trace.Total)
	}
	m.recentWaits = m.recentWaits[:0]
	m.samples = append(m.samples, sample)
}

func (m *replayMetrics) taskStarted(now time.Time, j *replayJob, attempt uint32, wait time.Duration) {
	m.advance(now)
	m.waitingTasks--
	m.used = m.used.Add(j.resources())
	m.usedByTeam[j.service.Team] = m.usedByTeam[j.service.Team].Add(j.resources())
	if attempt > 1 {
		return
	}
	ms := float64(wait) / float64(time.Millisecond)
	m.waitsByKind[string(j.service.Kind)] = append(m.waitsByKind[string(j.service.Kind)], ms)
	m.recentWaits = append(m.recentWaits, ms)
}

func (m *replayMetrics) taskEnded(now time.Time, j *replayJob, started time.Time, completed bool) {
	m.advance(now)
	m.used = m.used.Sub(j.resources())
	m.usedByTeam[j.service.Team] = m.usedByTeam[j.service.Team].Sub(j.resources())
	if !completed {
		m.preemptions++
	}
	if j.service.Kind != "batch" || now.After(m.end) {
		return
	}
	m.batchCoreSeconds += now.Sub(started).Seconds() * float64(j.resources().CPU) / 1000
}

func (m *replayMetrics) decisionsMade(duration time.Duration, decisions int) {
	m.decisionTime += duration
	m.decisions += decisions
	if decisions > 0 {
		m.decisionMicros = append(m.decisionMicros, float64(duration)/float64(time.Microsecond)/float64(decisions))
	}
}

func (m *replayMetrics) result(l *ledger.Ledger) Result {
	r := Result{
		Jobs:              len(m.trace.Jobs),
		Refused:           m.refusedJobs,
		InvalidPlacements: m.invalidPlacements,
		Preemptions:       m.preemptions,
		Outcomes:          map[string]int{},
		WaitTimes:         map[string]Wait{},
		CPUUtilization:    m.cpuTime / (float64(m.trace.DurationMillis) / 1000 * float64(m.trace.Total.CPU)),
		BatchCoreSeconds:  m.batchCoreSeconds,
		P99DecisionMicros: quantile(m.decisionMicros, 0.99),
		Samples:           m.samples,
	}
	for _, job := range l.Jobs(func(j *ledger.Job) bool { return j.IsFinished() }, len(m.trace.Jobs)) {
		r.EndedJobs++
		r.Outcomes[string(job.Outcome)]++
	}
	for kind, waits := range m.waitsByKind {
		r.WaitTimes[kind] = Wait{
			P50:   quantile(waits, 0.5),
			P99:   quantile(waits, 0.99),
			Count: len(waits),
		}
	}
	if m.decisions > 0 {
		r.MeanDecisionMicros = float64(m.decisionTime) / float64(time.Microsecond) / float64(m.decisions)
	}
	totalShare := 0.0
	for _, team := range m.trace.Teams {
		totalShare += team.Share
	}
	for _, team := range m.trace.Teams {
		difference := math.Abs(m.teamShareTime[team.Name]/m.totalShareTime - team.Share/totalShare)
		r.ShareDistance += difference / 2
		r.MaxShareDifference = max(r.MaxShareDifference, difference)
	}
	return r
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(index, 0)]
}
