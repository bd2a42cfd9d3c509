package sched

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Position is the index of a worker in a View.
type Position int

// Range is a half-open range of positions, such as a failure domain.
type Range struct {
	From, To Position
}

// Candidate is a worker with enough free resources for a task.
type Candidate struct {
	Position Position
	// RackTasks is the number of tasks of the service in the worker's rack.
	RackTasks int
	// MinFree is the smaller of the fractions of CPU and memory that stay free.
	MinFree float64
	// Waste scores how much stays free and how unevenly; lower is better.
	Waste float64
}

// View is what a Policy sees of the fleet during one choice.
type View struct {
	fleet       *fleet
	spread      map[spreadKey]int
	sampleCount int
	random      *rand.Rand
	avoidWorker string
	service     *serviceRecord
	candidates  []Candidate
	ranges      []Range
	keys        []float64
	buffer      []Position
	allocated   []Position
}

func newView(f *fleet, spread map[spreadKey]int, s settings) *View {
	return &View{
		fleet:       f,
		spread:      spread,
		sampleCount: s.sampleCount,
		random:      rand.New(rand.NewPCG(s.seed, s.seed)),
	}
}

// All returns the range of the whole fleet.
func (v *View) All() Range {
	return Range{To: Position(len(v.fleet.ordered))}
}

// Sample returns some workers within the range that have enough free
// resources for a task of the job. It searches from a few random positions,
// so that its cost does not grow with the fleet, and finds one if there is
// any. A worker to be avoided is replaced by the next one of the fleet that
// fits, which may be outside the range, or left out if none follows.
func (v *View) Sample(job *Job, within Range) []Candidate {
	v.candidates = v.candidates[:0]
	need := vectorOf(job.Resources, 1)
	width := int(within.To - within.From)
	if width <= 0 {
		return nil
	}
	for range v.sampleCount {
		from := int(within.From) + v.random.IntN(width)
		position := v.fleet.freeIndex.find(need, from, int(within.To))
		if position < 0 {
			position = v.fleet.freeIndex.find(need, int(within.From), from)
		}
		if position < 0 {
			break
		}
		v.addCandidate(job, position)
	}
	return v.candidates
}

func (v *View) addCandidate(job *Job, position int) {
	w := v.fleet.ordered[position]
	if w.ID == v.avoidWorker {
		if position = v.nextFit(job, position); position < 0 {
			return
		}
		w = v.fleet.ordered[position]
	}
	for _, c := range v.candidates {
		if c.Position == Position(position) {
			return
		}
	}
	left := w.freeResources().Sub(job.Resources)
	v.candidates = append(v.candidates, Candidate{
		Position: Position(position),
		RackTasks: v.spread[spreadKey{
			service:    v.service,
			topologyID: w.rackID,
		}],
		MinFree: minFreeFraction(left, w.Capacity),
		Waste:   wasteScore(left, w.Capacity, job.Resources),
	})
}

// nextFit returns the next position with enough free resources after one to
// be avoided, or -1.
func (v *View) nextFit(job *Job, position int) int {
	return v.fleet.freeIndex.find(vectorOf(job.Resources, 1), position+1, len(v.fleet.ordered))
}

func minFreeFraction(left, capacity quota.Resources) float64 {
	free := freeFraction(int64(left.CPU), int64(capacity.CPU))
	return min(free, freeFraction(int64(left.Memory), int64(capacity.Memory)))
}

// wasteScore is low if little is left and if the remainder has the
// proportions of the whole worker, so that it stays usable. Resources next
// to accelerators are penalized for tasks that need no accelerator.
func wasteScore(left, capacity, task quota.Resources) float64 {
	cpu := freeFraction(int64(left.CPU), int64(capacity.CPU))
	memory := freeFraction(int64(left.Memory), int64(capacity.Memory))
	sum := cpu + memory + 2*math.Abs(cpu-memory)
	if capacity.Accelerators > 0 && task.Accelerators == 0 {
		sum += 4
	}
	return sum
}

func freeFraction(free, total int64) float64 {
	if total <= 0 {
		return 1
	}
	return float64(free) / float64(total)
}

// DomainsBySpread returns the failure domains, those with the fewest tasks
// of the job's service first. Ties are broken at random.
func (v *View) DomainsBySpread() []Range {
	v.ranges, v.keys = v.ranges[:0], v.keys[:0]
	for _, d := range v.fleet.domains {
		count := v.spread[spreadKey{
			service:    v.service,
			topologyID: d.topologyID,
		}]
		v.addRange(d, float64(count)+v.random.Float64()/2)
	}
	sort.Sort(byKey{v})
	return v.ranges
}

// DomainsByFreeCPU returns the failure domains, those with the most free CPU
// first.
func (v *View) DomainsByFreeCPU() []Range {
	v.ranges, v.keys = v.ranges[:0], v.keys[:0]
	for _, d := range v.fleet.domains {
		v.addRange(d, -float64(v.fleet.freeByDomain[d.domain].CPU))
	}
	sort.Sort(byKey{v})
	return v.ranges
}

func (v *View) addRange(d domainRange, key float64) {
	v.ranges = append(v.ranges, Range{
		From: Position(d.from),
		To:   Position(d.to),
	})
	v.keys = append(v.keys, key)
}

// byKey sorts the ranges of a view by their keys.
type byKey struct{ v *View }

func (b byKey) Len() int { return len(b.v.ranges) }

func (b byKey) Less(i, j int) bool { return b.v.keys[i] < b.v.keys[j] }

func (b byKey) Swap(i, j int) {
	b.v.ranges[i], b.v.ranges[j] = b.v.ranges[j], b.v.ranges[i]
	b.v.keys[i], b.v.keys[j] = b.v.keys[j], b.v.keys[i]
}

// FirstFit returns the first worker of the range with enough free resources
// for a task, and whether there is one.
func (v *View) FirstFit(job *Job, within Range) (Position, bool) {
	position := v.fleet.freeIndex.find(vectorOf(job.Resources, 1), int(within.From), int(within.To))
	return Position(position), position >= 0
}

// Allocate takes the resources and a slot from the worker until Reset. It
// reports whether the worker had enough free.
func (v *View) Allocate(position Position, resources quota.Resources) bool {
	w := v.fleet.ordered[position]
	if !resources.FitsIn(w.freeResources()) || w.usedSlots >= w.Slots {
		return false
	}
	w.used = w.used.Add(resources)
	w.usedSlots++
	v.fleet.updateIndexes(w)
	v.allocated = append(v.allocated, position)
	w.tentative = w.tentative.Add(resources)
	w.tentativeSlots++
	return true
}

// Reset releases everything that was allocated.
func (v *View) Reset() {
	for _, position := range v.allocated {
		w := v.fleet.ordered[position]
		if w.tentativeSlots == 0 {
			continue
		}
		w.used = w.used.Sub(w.tentative)
		w.usedSlots -= w.tentativeSlots
		w.tentative = quota.Resources{}
		w.tentativeSlots = 0
		v.fleet.updateIndexes(w)
	}
	v.allocated = v.allocated[:0]
}

// Buffer returns an empty slice for a choice. It is reused by later choices.
func (v *View) Buffer() []Position {
	return v.buffer[:0]
}

// Single returns a choice of one position.
func (v *View) Single(position Position) []Position {
	v.buffer = append(v.buffer[:0], position)
	return v.buffer
}
