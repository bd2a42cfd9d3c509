package rank

import "cmp"

// shareTolerance is the relative rounding error that is allowed for when an account's use is
// compared with its share: floating-point sums depend on the order of their terms.
const shareTolerance = 1e-9

// Account is the part of a resource pool that an account uses and is entitled to.
type Account struct {
	// Weight is the weight of the account. One that is not positive counts as the lowest
	// positive one of the pool's accounts.
	Weight float64
	// Used is the dominant share of the pool's resources that the account uses, and Calls
	// the share of the calls.
	Used  float64
	Calls float64

	// level is the weighted share at which the account uses what it is entitled to. It is
	// zero if the account is alone.
	level float64
}

// Entitle sets what each account of a pool is entitled to: its part of the sum of the
// weights. Only accounts with work in the pool are to be given, so that unused shares are
// lent to them.
func Entitle(accounts []*Account) {
	lowest := 0.0
	for _, a := range accounts {
		if a.Weight > 0 && (lowest == 0 || a.Weight < lowest) {
			lowest = a.Weight
		}
	}
	sum := 0.0
	for _, a := range accounts {
		if a.Weight <= 0 {
			a.Weight = cmp.Or(lowest, 1)
		}
		sum += a.Weight
	}
	for _, a := range accounts {
		a.level = 0
		if len(accounts) > 1 {
			a.level = WeightedShare(1-shareTolerance, sum)
		}
	}
}

// charge adds what an entry of the account takes if it is served, and reports whether the
// account used what it is entitled to before. An account that is alone is never over.
func (a *Account) charge(demand, calls float64) bool {
	if a == nil {
		return false
	}
	over := a.level > 0 && WeightedShare(max(a.Used, a.Calls), a.Weight) >= a.level
	a.Used += demand
	a.Calls += calls
	return over
}

// WeightedShare returns the key by which accounts are compared, lowest first: the share
// divided by the weight. A weight that is not positive counts as one.
func WeightedShare(share, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return share / weight
}
