package trace

import (
	"math"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const sampleEvery = time.Second

// Result is what came of a replay.
type Result struct {
	Jobs     int `json:"jobs"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Wrong counts placements that the ledger refused.
	Wrong       int            `json:"wrong-placements"`
	Preemptions int            `json:"preemptions"`
	Outcomes    map[string]int `json:"outcomes"`
	// Waits holds the waiting times of the tasks of each kind.
	Waits map[string]Wait `json:"waits"`
	// Packing is the mean part of the fleet's processors that was in use
	// while work was handed in, Work the core-seconds of batch done by then.
	Packing float64 `json:"packing"`
	Work    float64 `json:"batch-core-seconds"`
	// ShareDistance is half the sum, over the teams, of the differences
	// between use and share, after the fleet has filled.
	ShareDistance float64 `json:"share-distance"`
	// WorstShare is the largest difference of a team from its share.
	WorstShare float64 `json:"worst-share"`
	// Decide is the mean and the p99 time of one placement, in microseconds.
	DecideMean float64  `json:"decide-mean-us"`
	DecideP99  float64  `json:"decide-p99-us"`
	Samples    []Sample `json:"-"`
}

// Wait is a distribution of waiting times, in milliseconds.
type Wait struct {
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Count int     `json:"count"`
}

// Sample is the state at a time of the trace.
type Sample struct {
	At      time.Duration
	Packing float64
	Shares  map[string]float64
	Wait    float64
}

// meters add up what happens during a replay.
type meters struct {
	trace       Trace
	end         time.Time
	waiting     int
	refused     int
	wrong       int
	preemptions int
	last        time.Time
	used        quota.Room
	byTeam      map[string]quota.Room
	area        float64
	teamArea    map[string]float64
	warmArea    float64
	work        float64
	waits       map[string][]float64
	recent      []float64
	decides     []float64
	decideTime  time.Duration
	decisions   int
	samples     []Sample
}

func newMeters(t Trace) *meters {
	return &meters{
		trace:    t,
		end:      Epoch.Add(time.Duration(t.LengthMillis) * time.Millisecond),
		last:     Epoch,
		byTeam:   map[string]quota.Room{},
		teamArea: map[string]float64{},
		waits:    map[string][]float64{},
	}
}

// warm is the time by which the fleet has filled: shares count from then on.
func (m *meters) warm() time.Time {
	return Epoch.Add(time.Duration(m.trace.LengthMillis) * time.Millisecond / 4)
}

// advance adds up the use until now.
func (m *meters) advance(now time.Time) {
	for at := m.last.Truncate(sampleEvery).Add(sampleEvery); !at.After(now) && !at.After(m.end); at = at.Add(sampleEvery) {
		m.sample(at)
	}
	from, to := m.last, now
	m.last = now
	if to.After(m.end) {
		to = m.end
	}
	seconds := to.Sub(from).Seconds()
	if seconds <= 0 {
		return
	}
	m.area += seconds * float64(m.used.CPU)
	if from.Before(m.warm()) {
		return
	}
	for team, room := range m.byTeam {
		m.teamArea[team] += seconds * room.Dominant(m.trace.Total)
		m.warmArea += seconds * room.Dominant(m.trace.Total)
	}
}

func (m *meters) sample(at time.Time) {
	s := Sample{
		At:      at.Sub(Epoch),
		Packing: float64(m.used.CPU) / float64(m.trace.Total.CPU),
		Shares:  map[string]float64{},
		Wait:    quantile(m.recent, 0.99),
	}
	for _, team := range m.trace.Teams {
		s.Shares[team.Name] = m.byTeam[team.Name].Dominant(m.trace.Total)
	}
	m.recent = m.recent[:0]
	m.samples = append(m.samples, s)
}

func (m *meters) started(now time.Time, j *replayJob, attempt uint32, wait time.Duration) {
	m.advance(now)
	m.waiting--
	m.used = m.used.Add(j.roomOf())
	m.byTeam[j.service.Team] = m.byTeam[j.service.Team].Add(j.roomOf())
	if attempt > 1 {
		return
	}
	ms := float64(wait) / float64(time.Millisecond)
	m.waits[string(j.service.Kind)] = append(m.waits[string(j.service.Kind)], ms)
	m.recent = append(m.recent, ms)
}

func (m *meters) ended(now time.Time, j *replayJob, started time.Time, whole bool) {
	m.advance(now)
	m.used = m.used.Sub(j.roomOf())
	m.byTeam[j.service.Team] = m.byTeam[j.service.Team].Sub(j.roomOf())
	if !whole {
		m.preemptions++
	}
	if j.service.Kind != "batch" || now.After(m.end) {
		return
	}
	m.work += now.Sub(started).Seconds() * float64(j.roomOf().CPU) / 1000
}

func (m *meters) decided(took time.Duration, decisions int) {
	m.decideTime += took
	m.decisions += decisions
	if decisions > 0 {
		m.decides = append(m.decides, float64(took)/float64(time.Microsecond)/float64(decisions))
	}
}

func (m *meters) result(l *ledger.Ledger) Result {
	r := Result{
		Jobs:        len(m.trace.Jobs),
		Refused:     m.refused,
		Wrong:       m.wrong,
		Preemptions: m.preemptions,
		Outcomes:    map[string]int{},
		Waits:       map[string]Wait{},
		Packing:     m.area / (float64(m.trace.LengthMillis) / 1000 * float64(m.trace.Total.CPU)),
		Work:        m.work,
		DecideP99:   quantile(m.decides, 0.99),
		Samples:     m.samples,
	}
	for _, job := range l.Jobs(func(j *ledger.Job) bool { return j.Over() }, len(m.trace.Jobs)) {
		r.Answered++
		r.Outcomes[string(job.Outcome)]++
	}
	for kind, all := range m.waits {
		r.Waits[kind] = Wait{
			P50:   quantile(all, 0.5),
			P99:   quantile(all, 0.99),
			Count: len(all),
		}
	}
	if m.decisions > 0 {
		r.DecideMean = float64(m.decideTime) / float64(time.Microsecond) / float64(m.decisions)
	}
	weights := 0.0
	for _, team := range m.trace.Teams {
		weights += team.Share
	}
	for _, team := range m.trace.Teams {
		difference := math.Abs(m.teamArea[team.Name]/m.warmArea - team.Share/weights)
		r.ShareDistance += difference / 2
		r.WorstShare = max(r.WorstShare, difference)
	}
	return r
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(at, 0)]
}
