package sched

import "math/bits"

const (
	bucketSteps = 4
	bucketBits  = 2
	bucketClass = 64
)

// buckets is an index by classes of free processors and memory: four classes
// for each doubling. It finds any place of a class above the need at once,
// and looks through the classes that the need itself falls in. It ignores
// how near places are to each other.
type buckets struct {
	free    []vector
	at      []int
	members [bucketClass][bucketClass][]int
	filled  [bucketClass]uint64
}

var _ index = (*buckets)(nil)

func newBuckets(places int) *buckets {
	b := &buckets{
		free: make([]vector, places),
		at:   make([]int, places),
	}
	for i := range b.free {
		b.free[i] = closed
		b.at[i] = -1
	}
	return b
}

// classOf returns the class of an amount: the class of a larger amount is
// never smaller.
func classOf(amount int64) int {
	if amount < bucketSteps {
		return int(max(amount, 0))
	}
	top := bits.Len64(uint64(amount)) - 1
	fraction := int(amount>>(top-bucketBits)) & (bucketSteps - 1)
	return min((top-bucketBits+1)*bucketSteps+fraction, bucketClass-1)
}

func (b *buckets) set(place int, free vector) {
	b.remove(place)
	b.free[place] = free
	if free == closed {
		return
	}
	cpu, memory := classOf(free.cpu), classOf(free.memory)
	b.at[place] = len(b.members[cpu][memory])
	b.members[cpu][memory] = append(b.members[cpu][memory], place)
	b.filled[cpu] |= 1 << memory
}

func (b *buckets) remove(place int) {
	position := b.at[place]
	if position < 0 {
		return
	}
	cpu, memory := classOf(b.free[place].cpu), classOf(b.free[place].memory)
	members := b.members[cpu][memory]
	last := members[len(members)-1]
	members[position] = last
	b.at[last] = position
	b.members[cpu][memory] = members[:len(members)-1]
	if len(members) == 1 {
		b.filled[cpu] &^= 1 << memory
	}
	b.at[place] = -1
}

// find returns a place of the lowest class that covers the need: a best fit
// by class. Places outside [from, to) are passed over.
func (b *buckets) find(need vector, from, to int) int {
	least := classOf(need.memory)
	for cpu := classOf(need.cpu); cpu < bucketClass; cpu++ {
		filled := b.filled[cpu] >> least << least
		for filled != 0 {
			memory := bits.TrailingZeros64(filled)
			filled &= filled - 1
			for _, place := range b.members[cpu][memory] {
				if place >= from && place < to && b.free[place].covers(need) {
					return place
				}
			}
		}
	}
	return -1
}
