package sched

import "math/bits"

const (
	classesPerDoubling = 4
	// classFractionBits is the base-2 logarithm of classesPerDoubling.
	classFractionBits = 2
	classCount        = 64
)

// buckets is an index by classes of free CPU and memory, with four classes
// per doubling. A position whose classes are above those of the need has enough
// CPU and memory, while one in the same class may not. find checks every
// position, as accelerators and slots have no classes. The index does not take
// the locality of positions into account.
type buckets struct {
	free []vector
	// offset is the offset of each position in its list in members, or -1.
	offset []int
	// members holds the positions by class of free CPU and of free memory.
	members [classCount][classCount][]int
	// nonEmpty has a bit for each list in members, set if it is not empty.
	nonEmpty [classCount]uint64
}

var _ index = (*buckets)(nil)

func newBuckets(size int) *buckets {
	b := &buckets{
		free:   make([]vector, size),
		offset: make([]int, size),
	}
	for i := range b.free {
		b.free[i] = unavailable
		b.offset[i] = -1
	}
	return b
}

// classOf returns the class of an amount. A larger amount never has a
// smaller class.
func classOf(amount int64) int {
	if amount < classesPerDoubling {
		return int(max(amount, 0))
	}
	highBit := bits.Len64(uint64(amount)) - 1
	fraction := int(amount>>(highBit-classFractionBits)) & (classesPerDoubling - 1)
	return min((highBit-classFractionBits+1)*classesPerDoubling+fraction, classCount-1)
}

func (b *buckets) set(position int, free vector) {
	b.remove(position)
	b.free[position] = free
	if free == unavailable {
		return
	}
	cpu, memory := classOf(free.cpu), classOf(free.memory)
	b.offset[position] = len(b.members[cpu][memory])
	b.members[cpu][memory] = append(b.members[cpu][memory], position)
	b.nonEmpty[cpu] |= 1 << memory
}

func (b *buckets) remove(position int) {
	offset := b.offset[position]
	if offset < 0 {
		return
	}
	cpu, memory := classOf(b.free[position].cpu), classOf(b.free[position].memory)
	members := b.members[cpu][memory]
	last := members[len(members)-1]
	members[offset] = last
	b.offset[last] = offset
	b.members[cpu][memory] = members[:len(members)-1]
	if len(members) == 1 {
		b.nonEmpty[cpu] &^= 1 << memory
	}
	b.offset[position] = -1
}

// find returns a position of the lowest class that covers the need, which is
// a best fit at the granularity of classes. Positions outside [from, to) are
// skipped.
func (b *buckets) find(need vector, from, to int) int {
	minMemory := classOf(need.memory)
	for cpu := classOf(need.cpu); cpu < classCount; cpu++ {
		nonEmpty := b.nonEmpty[cpu] >> minMemory << minMemory
		for nonEmpty != 0 {
			memory := bits.TrailingZeros64(nonEmpty)
			nonEmpty &= nonEmpty - 1
			for _, position := range b.members[cpu][memory] {
				if position >= from && position < to && b.free[position].covers(need) {
					return position
				}
			}
		}
	}
	return -1
}
