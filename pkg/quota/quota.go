// Package quota provides the resource amounts used for the requests of work, the
// capacity of workers and the upper limits of teams. It computes the dominant
// share by which teams are compared when the fleet is full.
package quota

import "math"

// MilliCPU is an amount of CPU time in thousandths of a core.
type MilliCPU int64

// MiB is an amount of memory in mebibytes.
type MiB int64

// Resources is an amount of resources: CPU, memory and accelerators.
type Resources struct {
	CPU          MilliCPU `cbor:"1,keyasint,omitempty" json:"milli-cpu"    toml:"milli-cpu"`
	Memory       MiB      `cbor:"2,keyasint,omitempty" json:"memory-mib"   toml:"memory-mib"`
	Accelerators int64    `cbor:"3,keyasint,omitempty" json:"accelerators" toml:"accelerators"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		CPU:          r.CPU + other.CPU,
		Memory:       r.Memory + other.Memory,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns r minus other. Components of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		CPU:          r.CPU - other.CPU,
		Memory:       r.Memory - other.Memory,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Min returns the smaller of r and other in each component.
func (r Resources) Min(other Resources) Resources {
	return Resources{
		CPU:          min(r.CPU, other.CPU),
		Memory:       min(r.Memory, other.Memory),
		Accelerators: min(r.Accelerators, other.Accelerators),
	}
}

// Max returns the larger of r and other in each component.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		CPU:          max(r.CPU, other.CPU),
		Memory:       max(r.Memory, other.Memory),
		Accelerators: max(r.Accelerators, other.Accelerators),
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{
		CPU:          r.CPU * MilliCPU(n),
		Memory:       r.Memory * MiB(n),
		Accelerators: r.Accelerators * int64(n),
	}
}

// Scale returns r multiplied by factor, rounded towards zero.
func (r Resources) Scale(factor float64) Resources {
	return Resources{
		CPU:          MilliCPU(float64(r.CPU) * factor),
		Memory:       MiB(float64(r.Memory) * factor),
		Accelerators: int64(float64(r.Accelerators) * factor),
	}
}

// FitsIn reports whether r is at most other in every component.
func (r Resources) FitsIn(other Resources) bool {
	return r.CPU <= other.CPU && r.Memory <= other.Memory && r.Accelerators <= other.Accelerators
}

// FitCount returns how many times r fits into other. The result is 0 if a
// component of other is negative, and otherwise math.MaxInt32 if r is zero.
func (r Resources) FitCount(other Resources) int {
	n := int64(math.MaxInt32)
	if r.CPU > 0 {
		n = min(n, int64(other.CPU/r.CPU))
	}
	if r.Memory > 0 {
		n = min(n, int64(other.Memory/r.Memory))
	}
	if r.Accelerators > 0 {
		n = min(n, other.Accelerators/r.Accelerators)
	}
	if !(Resources{}).FitsIn(other) {
		return 0
	}
	return int(n)
}

// IsZero reports whether all components are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsValid reports whether no component is negative.
func (r Resources) IsValid() bool {
	return r.CPU >= 0 && r.Memory >= 0 && r.Accelerators >= 0
}

// DominantShare returns the largest fraction of total that r takes in any of
// the three components. This is the dominant share of Dominant Resource
// Fairness (Ghodsi et al., NSDI 2011). Components that are not positive in
// total are ignored.
func (r Resources) DominantShare(total Resources) float64 {
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
