// Package quota holds the amounts of room that work asks for and workers
// have, the upper limits set on teams, and the weighted dominant share by
// which teams are compared when the fleet is full.
package quota

import "math"

// MilliCPU is an amount of processor time in thousandths of a core.
type MilliCPU int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Room is an amount of processors, memory and accelerators.
type Room struct {
	CPU          MilliCPU `cbor:"1,keyasint,omitempty" json:"milli-cpu"    toml:"milli-cpu"`
	Memory       MiB      `cbor:"2,keyasint,omitempty" json:"memory-mib"   toml:"memory-mib"`
	Accelerators int64    `cbor:"3,keyasint,omitempty" json:"accelerators" toml:"accelerators"`
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room {
	return Room{
		CPU:          r.CPU + o.CPU,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r less o. A component may become negative.
func (r Room) Sub(o Room) Room {
	return Room{
		CPU:          r.CPU - o.CPU,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Room) Times(n int) Room {
	return Room{
		CPU:          r.CPU * MilliCPU(n),
		Memory:       r.Memory * MiB(n),
		Accelerators: r.Accelerators * int64(n),
	}
}

// Scale returns r multiplied by part, rounded towards zero.
func (r Room) Scale(part float64) Room {
	return Room{
		CPU:          MilliCPU(float64(r.CPU) * part),
		Memory:       MiB(float64(r.Memory) * part),
		Accelerators: int64(float64(r.Accelerators) * part),
	}
}

// Fits tells whether r is at most o in every component.
func (r Room) Fits(o Room) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Copies returns how many times r fits into o. Nothing fits without bound, and
// counts as math.MaxInt32.
func (r Room) Copies(o Room) int {
	n := int64(math.MaxInt32)
	if r.CPU > 0 {
		n = min(n, int64(o.CPU/r.CPU))
	}
	if r.Memory > 0 {
		n = min(n, int64(o.Memory/r.Memory))
	}
	if r.Accelerators > 0 {
		n = min(n, o.Accelerators/r.Accelerators)
	}
	if !(Room{}).Fits(o) {
		return 0
	}
	return int(n)
}

// IsZero tells whether no component is set.
func (r Room) IsZero() bool {
	return r == Room{}
}

// Valid tells whether no component is negative.
func (r Room) Valid() bool {
	return r.CPU >= 0 && r.Memory >= 0 && r.Accelerators >= 0
}

// Dominant returns the largest fraction that r takes of total over the
// three components, which is the dominant share of DRF (Ghodsi et al., NSDI
// 2011). Components absent from total are left out.
func (r Room) Dominant(total Room) float64 {
	share := fraction(int64(r.CPU), int64(total.CPU))
	share = max(share, fraction(int64(r.Memory), int64(total.Memory)))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
