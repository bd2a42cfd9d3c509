package sched

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Place is a worker in a View.
type Place int

// Range is a run of places, such as a failure domain.
type Range struct {
	From, To Place
}

// Candidate is a worker that has room for a task.
type Candidate struct {
	Place Place
	// InRack is how many tasks of the service the rack has.
	InRack int
	// Left is the smallest fraction of the worker that stays free.
	Left float64
	// Waste is how much stays free, and how unevenly.
	Waste float64
}

// View is what a Policy sees of the fleet during one choice.
type View struct {
	fleet   *fleet
	spread  map[spreadKey]int
	samples int
	random  *rand.Rand
	avoid   string
	service *serviceRecord
	found   []Candidate
	ranges  []Range
	keys    []float64
	places  []Place
	taken   []Place
}

func newView(f *fleet, spread map[spreadKey]int, s settings) *View {
	return &View{
		fleet:   f,
		spread:  spread,
		samples: s.samples,
		random:  rand.New(rand.NewPCG(s.seed, s.seed)),
	}
}

// Everywhere returns the range of the whole fleet.
func (v *View) Everywhere() Range {
	return Range{To: Place(len(v.fleet.places))}
}

// Sample returns some workers within the range that have room for a task of
// the job. It looks from a few random places on, so that its cost does not
// grow with the fleet, and finds one if there is any.
func (v *View) Sample(job *Job, within Range) []Candidate {
	v.found = v.found[:0]
	need := vectorOf(job.Room, 1)
	width := int(within.To - within.From)
	if width <= 0 {
		return nil
	}
	for range v.samples {
		from := int(within.From) + v.random.IntN(width)
		place := v.fleet.free.find(need, from, int(within.To))
		if place < 0 {
			place = v.fleet.free.find(need, int(within.From), from)
		}
		if place < 0 {
			break
		}
		v.consider(job, place)
	}
	return v.found
}

func (v *View) consider(job *Job, place int) {
	w := v.fleet.places[place]
	if w.ID == v.avoid {
		if place = v.after(job, place); place < 0 {
			return
		}
		w = v.fleet.places[place]
	}
	for _, c := range v.found {
		if c.Place == Place(place) {
			return
		}
	}
	left := w.freeRoom().Sub(job.Room)
	v.found = append(v.found, Candidate{
		Place: Place(place),
		InRack: v.spread[spreadKey{
			service: v.service,
			area:    w.rackArea,
		}],
		Left:  smallest(left, w.Capacity),
		Waste: waste(left, w.Capacity, job.Room),
	})
}

// after returns the next place with room behind one to be avoided, or -1.
func (v *View) after(job *Job, place int) int {
	return v.fleet.free.find(vectorOf(job.Room, 1), place+1, len(v.fleet.places))
}

func smallest(left, capacity quota.Room) float64 {
	least := part(int64(left.CPU), int64(capacity.CPU))
	return min(least, part(int64(left.Memory), int64(capacity.Memory)))
}

// waste is small when little is left and when what is left has the shape of
// the whole worker, so that it stays of use. Room beside accelerators is
// dear to work that needs none.
func waste(left, capacity, room quota.Room) float64 {
	cpu := part(int64(left.CPU), int64(capacity.CPU))
	memory := part(int64(left.Memory), int64(capacity.Memory))
	sum := cpu + memory + 2*math.Abs(cpu-memory)
	if capacity.Accelerators > 0 && room.Accelerators == 0 {
		sum += 4
	}
	return sum
}

func part(left, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(left) / float64(whole)
}

// DomainsBySpread returns the failure domains, those with the fewest tasks
// of the job's service first.
func (v *View) DomainsBySpread() []Range {
	v.ranges, v.keys = v.ranges[:0], v.keys[:0]
	for _, d := range v.fleet.domains {
		count := v.spread[spreadKey{
			service: v.service,
			area:    d.area,
		}]
		v.addRange(d, float64(count)+v.random.Float64()/2)
	}
	sort.Sort(byKey{v})
	return v.ranges
}

// DomainsByRoom returns the failure domains, those with most room first.
func (v *View) DomainsByRoom() []Range {
	v.ranges, v.keys = v.ranges[:0], v.keys[:0]
	for _, d := range v.fleet.domains {
		v.addRange(d, -float64(v.fleet.freeIn[d.domain].CPU))
	}
	sort.Sort(byKey{v})
	return v.ranges
}

func (v *View) addRange(d span, key float64) {
	v.ranges = append(v.ranges, Range{
		From: Place(d.from),
		To:   Place(d.to),
	})
	v.keys = append(v.keys, key)
}

// byKey sorts the ranges of a view by their keys.
type byKey struct{ v *View }

// Len returns the number of ranges.
func (b byKey) Len() int { return len(b.v.ranges) }

// Less compares two keys.
func (b byKey) Less(i, j int) bool { return b.v.keys[i] < b.v.keys[j] }

// Swap swaps two ranges with their keys.
func (b byKey) Swap(i, j int) {
	b.v.ranges[i], b.v.ranges[j] = b.v.ranges[j], b.v.ranges[i]
	b.v.keys[i], b.v.keys[j] = b.v.keys[j], b.v.keys[i]
}

// Next returns the first worker of the range with room for a task.
func (v *View) Next(job *Job, within Range) (Place, bool) {
	place := v.fleet.free.find(vectorOf(job.Room, 1), int(within.From), int(within.To))
	return Place(place), place >= 0
}

// Take counts the room as gone until Reset. It tells false when the worker
// has too little.
func (v *View) Take(place Place, room quota.Room) bool {
	w := v.fleet.places[place]
	if !room.Fits(w.freeRoom()) || w.slots >= w.Slots {
		return false
	}
	w.used = w.used.Add(room)
	w.slots++
	v.fleet.update(w)
	v.taken = append(v.taken, place)
	w.tentative = w.tentative.Add(room)
	w.tentativeSlots++
	return true
}

// Reset gives back all that was taken.
func (v *View) Reset() {
	for _, place := range v.taken {
		w := v.fleet.places[place]
		if w.tentativeSlots == 0 {
			continue
		}
		w.used = w.used.Sub(w.tentative)
		w.slots -= w.tentativeSlots
		w.tentative = quota.Room{}
		w.tentativeSlots = 0
		v.fleet.update(w)
	}
	v.taken = v.taken[:0]
}

// Buffer returns an empty slice for a choice, reused from one to the next.
func (v *View) Buffer() []Place {
	return v.places[:0]
}

// One returns a choice of one place.
func (v *View) One(place Place) []Place {
	v.places = append(v.places[:0], place)
	return v.places
}
