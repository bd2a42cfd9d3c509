package trace

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Names of the traces that Generate supports.
const (
	DispatchMorning = "dispatch-morning"
	ParkRush        = "park-rush"
	FullFleet       = "full-fleet"
)

// Names returns the names of all traces that Generate supports.
func Names() []string {
	return []string{DispatchMorning, ParkRush, FullFleet}
}

// generator builds a synthetic trace modeled on the users' workloads.
type generator struct {
	random *rand.Rand
	trace  Trace
}

// Generate returns the named trace. The result depends only on the name and the
// seed. An unknown name yields a trace without jobs.
func Generate(name string, seed uint64) Trace {
	g := &generator{random: rand.New(rand.NewPCG(seed, 11))}
	g.trace.Name = name
	g.trace.Headroom = 0.04
	switch name {
	case DispatchMorning:
		g.dispatchMorning()
	case ParkRush:
		g.parkRush()
	case FullFleet:
		g.fullFleet()
	}
	for _, group := range g.trace.Fleet {
		g.trace.Total = g.trace.Total.Add(group.Resources.Times(group.Count))
	}
	sort.SliceStable(g.trace.Jobs, func(i, j int) bool { return g.trace.Jobs[i].SubmitMillis < g.trace.Jobs[j].SubmitMillis })
	return g.trace
}

func dispatchFleet() WorkerGroup {
	return WorkerGroup{
		Prefix:   "dispatch",
		Count:    50,
		Slots:    8,
		RackSize: 6,
		Domains:  []string{"ba", "nadi", "sigatoka", "nausori"},
		Resources: quota.Resources{
			CPU:    64000,
			Memory: 131072,
		},
	}
}

func parkFleet() WorkerGroup {
	return WorkerGroup{
		Prefix:   "park",
		Count:    50,
		Slots:    8,
		RackSize: 6,
		Domains:  []string{"sjaelland", "fyn", "nordjylland", "sydjylland"},
		Resources: quota.Resources{
			CPU:    16000,
			Memory: 32768,
		},
	}
}

func (g *generator) addTeam(name string, share float64) {
	g.trace.Teams = append(g.trace.Teams, Team{
		Name:  name,
		Share: share,
		Limit: quota.Resources{
			CPU:          1 << 30,
			Memory:       1 << 30,
			Accelerators: 1 << 20,
		},
	})
}

func (g *generator) addService(s Service) int {
	g.trace.Services = append(g.trace.Services, s)
	return len(g.trace.Services) - 1
}

// dispatchMorning generates urgent pickup bookings with a morning peak, next to
// batch jobs of three teams (the firm, a large estate and the village gardens)
// that saturate the fleet.
func (g *generator) dispatchMorning() {
	g.trace.DurationMillis = (10 * time.Minute).Milliseconds()
	g.trace.Fleet = []WorkerGroup{dispatchFleet()}
	g.addTeam("dispatch", 3)
	g.addTeam("estate", 1)
	g.addTeam("gardens", 2)
	pickups := g.addService(Service{
		Name: "pickups", Team: "dispatch", Kind: note.KindService, Urgent: true,
	})
	for _, team := range []string{"dispatch", "estate", "gardens"} {
		curing := g.addService(Service{
			Name: "curing-" + team, Team: team, Kind: note.KindBatch, Idempotent: true, Preemptible: true,
		})
		rate := map[string]float64{"dispatch": 2.5, "estate": 5, "gardens": 2.5}[team]
		g.addJobs(curing, rate, constantRate, g.curingJob)
	}
	g.addJobs(pickups, 2, morningPeak, func() Job {
		return g.smallJob(400, 600, 200, 3000)
	})
}

// parkRush generates sign-ups that peak before each walk, bookings of runs and
// gang-scheduled playgroups, next to nightly batch jobs.
func (g *generator) parkRush() {
	g.trace.DurationMillis = (10 * time.Minute).Milliseconds()
	g.trace.Fleet = []WorkerGroup{parkFleet()}
	g.addTeam("members", 3)
	g.addTeam("back-office", 1)
	signUps := g.addService(Service{Name: "sign-ups", Team: "members", Kind: note.KindService})
	runs := g.addService(Service{Name: "runs", Team: "members", Kind: note.KindService})
	playgroups := g.addService(Service{
		Name: "playgroups", Team: "members", Kind: note.KindGang, Idempotent: true,
	})
	reports := g.addService(Service{
		Name: "reports", Team: "back-office", Kind: note.KindBatch, Idempotent: true, Preemptible: true,
	})
	g.addJobs(signUps, 3, walkRush, func() Job { return g.smallJob(100, 300, 100, 1000) })
	g.addJobs(runs, 1, constantRate, func() Job { return g.smallJob(100, 300, 100, 800) })
	g.addJobs(playgroups, 0.03, constantRate, func() Job {
		j := g.smallJob(1000, 2000, 5000, 20000)
		j.Tasks = 4 + g.random.IntN(9)
		return j
	})
	g.addJobs(reports, 10, constantRate, func() Job {
		j := g.steppedJob(1000, 5, 512, 12)
		j.RunMillis = g.logUniform(8000, 60000)
		j.DeclaredRunMillis = g.misestimate(j.RunMillis)
		return j
	})
}

// fullFleet generates batch jobs of three teams with different shares and
// demands. Each team alone could saturate both fleets.
func (g *generator) fullFleet() {
	g.trace.DurationMillis = (8 * time.Minute).Milliseconds()
	g.trace.Fleet = []WorkerGroup{dispatchFleet(), parkFleet()}
	g.trace.Headroom = 0
	g.addTeam("dispatch", 3)
	g.addTeam("estate", 1)
	g.addTeam("gardens", 2)
	for _, demand := range []struct {
		team string
		rate float64
	}{
		{team: "dispatch", rate: 8},
		{team: "estate", rate: 12},
		{team: "gardens", rate: 5},
	} {
		curing := g.addService(Service{
			Name: "curing-" + demand.team, Team: demand.team, Kind: note.KindBatch, Idempotent: true,
		})
		g.addJobs(curing, demand.rate, constantRate, g.curingJob)
	}
}

// curingJob returns a batch job that is, with equal probability, CPU-heavy or
// memory-heavy.
func (g *generator) curingJob() Job {
	j := g.steppedJob(4000, 7, 4096, 7)
	if g.random.IntN(2) == 0 {
		j = g.steppedJob(2000, 4, 16384, 4)
	}
	j.RunMillis = g.logUniform(10000, 60000)
	j.DeclaredRunMillis = g.misestimate(j.RunMillis)
	return j
}

// addJobs adds a stream of jobs with exponentially distributed
// interarrival times. The mean rate is perSecond, scaled by the profile as a
// function of the elapsed fraction of the trace.
func (g *generator) addJobs(service int, perSecond float64, profile func(progress float64) float64, newJob func() Job) {
	length := float64(g.trace.DurationMillis)
	for submitMillis := 0.0; ; {
		rate := perSecond * profile(submitMillis/length)
		submitMillis += -math.Log(1-g.random.Float64()) / rate * 1000
		if submitMillis >= length {
			return
		}
		j := newJob()
		j.SubmitMillis = int64(submitMillis)
		j.Service = service
		j.Tasks = max(j.Tasks, 1)
		g.trace.Jobs = append(g.trace.Jobs, j)
	}
}

func constantRate(float64) float64 { return 1 }

// morningPeak has a broad peak at about a third of the trace.
func morningPeak(progress float64) float64 {
	offset := (progress - 0.35) / 0.12
	return 0.2 + 4*math.Exp(-offset*offset)
}

// walkRush has a sharp peak before each of three walks.
func walkRush(progress float64) float64 {
	rate := 0.2
	for _, walk := range []float64{0.25, 0.55, 0.85} {
		if progress < walk {
			rate += 12 * math.Exp(-(walk-progress)/0.02)
		}
	}
	return rate
}

// smallJob returns a job with a CPU demand in millicores and a run time in
// milliseconds between the bounds.
func (g *generator) smallJob(cpuLow, cpuHigh, runLow, runHigh int64) Job {
	run := g.logUniform(runLow, runHigh)
	return Job{
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(cpuLow + g.random.Int64N(cpuHigh-cpuLow)),
			Memory: quota.MiB(64 + g.random.Int64N(192)),
		},
		RunMillis:         run,
		DeclaredRunMillis: g.misestimate(run),
	}
}

// steppedJob returns a job whose CPU and memory are random multiples of the
// steps.
func (g *generator) steppedJob(cpuStep, maxCPUSteps, memoryStep, maxMemorySteps int64) Job {
	return Job{
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(cpuStep * (1 + g.random.Int64N(maxCPUSteps))),
			Memory: quota.MiB(memoryStep * (1 + g.random.Int64N(maxMemorySteps))),
		},
	}
}

// logUniform returns a log-uniformly distributed number between low and high.
func (g *generator) logUniform(low, high int64) int64 {
	span := math.Log(float64(high) / float64(low))
	return int64(float64(low) * math.Exp(span*g.random.Float64()))
}

// misestimate returns a declared run time that is wrong by a factor of up to 10
// in either direction.
func (g *generator) misestimate(run int64) int64 {
	return int64(float64(run) * math.Pow(10, 2*g.random.Float64()-1))
}
