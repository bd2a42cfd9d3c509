package trace

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Names of the traces that Record makes.
const (
	DispatchMorning = "dispatch-morning"
	ParkRush        = "park-rush"
	FullFleet       = "full-fleet"
)

// Names returns the names of the traces that Record makes.
func Names() []string {
	return []string{DispatchMorning, ParkRush, FullFleet}
}

// recorder makes a trace from the shapes of the users' work.
type recorder struct {
	random *rand.Rand
	trace  Trace
}

// Record makes the trace of the name from the seed; the same two give the
// same trace. An unknown name gives an empty one.
func Record(name string, seed uint64) Trace {
	r := &recorder{random: rand.New(rand.NewPCG(seed, 11))}
	r.trace.Name = name
	r.trace.Headroom = 0.04
	switch name {
	case DispatchMorning:
		r.dispatchMorning()
	case ParkRush:
		r.parkRush()
	case FullFleet:
		r.fullFleet()
	}
	for _, group := range r.trace.Fleet {
		r.trace.Total = r.trace.Total.Add(group.Room.Times(group.Count))
	}
	sort.SliceStable(r.trace.Jobs, func(i, j int) bool { return r.trace.Jobs[i].At < r.trace.Jobs[j].At })
	return r.trace
}

func fijiFleet() Workers {
	return Workers{
		Prefix:   "dispatch",
		Count:    50,
		Slots:    8,
		RackSize: 6,
		Domains:  []string{"ba", "nadi", "sigatoka", "nausori"},
		Room: quota.Room{
			CPU:    64000,
			Memory: 131072,
		},
	}
}

func parkFleet() Workers {
	return Workers{
		Prefix:   "park",
		Count:    50,
		Slots:    8,
		RackSize: 6,
		Domains:  []string{"sjaelland", "fyn", "nordjylland", "sydjylland"},
		Room: quota.Room{
			CPU:    16000,
			Memory: 32768,
		},
	}
}

func (r *recorder) team(name string, share float64) {
	r.trace.Teams = append(r.trace.Teams, Team{
		Name:  name,
		Share: share,
		Limit: quota.Room{
			CPU:          1 << 30,
			Memory:       1 << 30,
			Accelerators: 1 << 20,
		},
	})
}

func (r *recorder) service(s Service) int {
	r.trace.Services = append(r.trace.Services, s)
	return len(r.trace.Services) - 1
}

// dispatchMorning has pickup bookings with a morning peak beside the curing
// batches of the firm, a large estate and the village gardens, which keep
// the fleet full.
func (r *recorder) dispatchMorning() {
	r.trace.LengthMillis = (10 * time.Minute).Milliseconds()
	r.trace.Fleet = []Workers{fijiFleet()}
	r.team("dispatch", 3)
	r.team("estate", 1)
	r.team("gardens", 2)
	pickups := r.service(Service{
		Name: "pickups", Team: "dispatch", Kind: note.KindService, Urgent: true,
	})
	for _, team := range []string{"dispatch", "estate", "gardens"} {
		curing := r.service(Service{
			Name: "curing-" + team, Team: team, Kind: note.KindBatch, Idempotent: true, Preemptible: true,
		})
		per := map[string]float64{"dispatch": 2.5, "estate": 5, "gardens": 2.5}[team]
		r.stream(curing, per, flat, r.curing)
	}
	r.stream(pickups, 2, morningPeak, func() Job {
		return r.small(400, 600, 200, 3000)
	})
}

// parkRush has sign-ups in a rush before each walk, bookings of runs, and
// playgroups that start whole, beside nightly batch.
func (r *recorder) parkRush() {
	r.trace.LengthMillis = (10 * time.Minute).Milliseconds()
	r.trace.Fleet = []Workers{parkFleet()}
	r.team("members", 3)
	r.team("back-office", 1)
	signUps := r.service(Service{Name: "sign-ups", Team: "members", Kind: note.KindService})
	runs := r.service(Service{Name: "runs", Team: "members", Kind: note.KindService})
	playgroups := r.service(Service{
		Name: "playgroups", Team: "members", Kind: note.KindGang, Idempotent: true,
	})
	reports := r.service(Service{
		Name: "reports", Team: "back-office", Kind: note.KindBatch, Idempotent: true, Preemptible: true,
	})
	r.stream(signUps, 3, walkRush, func() Job { return r.small(100, 300, 100, 1000) })
	r.stream(runs, 1, flat, func() Job { return r.small(100, 300, 100, 800) })
	r.stream(playgroups, 0.03, flat, func() Job {
		j := r.small(1000, 2000, 5000, 20000)
		j.Tasks = 4 + r.random.IntN(9)
		return j
	})
	r.stream(reports, 10, flat, func() Job {
		j := r.sized(1000, 5, 512, 12)
		j.Run = r.logTime(8000, 60000)
		j.Declared = r.wrong(j.Run)
		return j
	})
}

// fullFleet has three teams of unequal shares and unequal demand, each of
// which could fill both fleets alone.
func (r *recorder) fullFleet() {
	r.trace.LengthMillis = (8 * time.Minute).Milliseconds()
	r.trace.Fleet = []Workers{fijiFleet(), parkFleet()}
	r.trace.Headroom = 0
	r.team("dispatch", 3)
	r.team("estate", 1)
	r.team("gardens", 2)
	for _, demand := range []struct {
		team string
		per  float64
	}{
		{team: "dispatch", per: 8},
		{team: "estate", per: 12},
		{team: "gardens", per: 5},
	} {
		curing := r.service(Service{
			Name: "curing-" + demand.team, Team: demand.team, Kind: note.KindBatch, Idempotent: true,
		})
		r.stream(curing, demand.per, flat, r.curing)
	}
}

// curing is a batch job of one or two shapes: wide in processors or in
// memory.
func (r *recorder) curing() Job {
	j := r.sized(4000, 7, 4096, 7)
	if r.random.IntN(2) == 0 {
		j = r.sized(2000, 4, 16384, 4)
	}
	j.Run = r.logTime(10000, 60000)
	j.Declared = r.wrong(j.Run)
	return j
}

// stream hands jobs in at so many a second on average, by the profile.
func (r *recorder) stream(service int, perSecond float64, profile func(part float64) float64, make func() Job) {
	length := float64(r.trace.LengthMillis)
	for at := 0.0; ; {
		rate := perSecond * profile(at/length)
		at += -math.Log(1-r.random.Float64()) / rate * 1000
		if at >= length {
			return
		}
		j := make()
		j.At = int64(at)
		j.Service = service
		j.Tasks = max(j.Tasks, 1)
		r.trace.Jobs = append(r.trace.Jobs, j)
	}
}

func flat(float64) float64 { return 1 }

// morningPeak is a broad hill around a third of the time.
func morningPeak(part float64) float64 {
	distance := (part - 0.35) / 0.12
	return 0.2 + 4*math.Exp(-distance*distance)
}

// walkRush is a sharp peak before each of three walks.
func walkRush(part float64) float64 {
	rate := 0.2
	for _, walk := range []float64{0.25, 0.55, 0.85} {
		if part < walk {
			rate += 12 * math.Exp(-(walk-part)/0.02)
		}
	}
	return rate
}

func (r *recorder) small(cpuLow, cpuHigh, runLow, runHigh int64) Job {
	run := r.logTime(runLow, runHigh)
	return Job{
		Room: quota.Room{
			CPU:    quota.MilliCPU(cpuLow + r.random.Int64N(cpuHigh-cpuLow)),
			Memory: quota.MiB(64 + r.random.Int64N(192)),
		},
		Run:      run,
		Declared: r.wrong(run),
	}
}

// sized returns a job of a multiple of each step.
func (r *recorder) sized(cpuStep, cpuMost, memoryStep, memoryMost int64) Job {
	return Job{
		Room: quota.Room{
			CPU:    quota.MilliCPU(cpuStep * (1 + r.random.Int64N(cpuMost))),
			Memory: quota.MiB(memoryStep * (1 + r.random.Int64N(memoryMost))),
		},
	}
}

// logTime returns a time between the two, spread evenly by its logarithm.
func (r *recorder) logTime(low, high int64) int64 {
	span := math.Log(float64(high) / float64(low))
	return int64(float64(low) * math.Exp(span*r.random.Float64()))
}

// wrong returns a declared time that is off by up to ten times either way.
func (r *recorder) wrong(run int64) int64 {
	return int64(float64(run) * math.Pow(10, 2*r.random.Float64()-1))
}
