package rank

import (
	"cmp"
	"slices"
	"time"
)

// promotedInterval is the ratio of all positions to those that go to starving work, the
// longest waiting first. If such work got all positions, a backlog without value would make
// all other work late as well.
const promotedInterval = 4

// Entry is an item to be ordered.
type Entry[T any] struct {
	Item T
	Work Work
	// Account is the account of the work, or nil if it is not compared with others.
	Account *Account
	// Demand is the part of the resources, and Calls the part of the calls, that the work
	// takes if it is served.
	Demand float64
	Calls  float64
	// Starving work has waited for too long with nothing of it running, as Waiting says.
	Starving bool
	Waiting  time.Duration
	// Rule is set by Order if the work was put behind other work.
	Rule Rule
	// Tier is set by Order: work of a higher tier goes behind all work of a lower one,
	// whatever their priorities.
	Tier int

	// ordered is set once promoteStarving has given the entry its position.
	ordered bool
}

// sortKey is the key of an entry with its index. It is small, so that sorting moves little.
type sortKey struct {
	key   key
	index int32
}

// Order returns the entries in the order in which they are to be served. Entries with equal
// keys are compared by tie. Turn counts the decisions; it determines the positions of
// starving work.
func Order[T any](entries []Entry[T], c Conditions, turn int, tie func(a, b T) int) []*Entry[T] {
	keys := make([]sortKey, len(entries))
	for i := range entries {
		e := &entries[i]
		var k key
		k, e.Rule = keyOf(&e.Work, c)
		e.Tier = int(k.tier())
		e.ordered = false
		keys[i] = sortKey{
			key:   k,
			index: int32(i),
		}
	}
	slices.SortFunc(keys, func(a, b sortKey) int {
		if order := a.key.compare(b.key); order != 0 {
			return order
		}
		return tie(entries[a.index].Item, entries[b.index].Item)
	})
	if c.Weighted && c.Short {
		putOverSharesBehind(entries, keys)
	}
	ordered := make([]*Entry[T], len(entries))
	for i := range keys {
		ordered[i] = &entries[keys[i].index]
	}
	if !c.Weighted || !c.Short {
		return ordered
	}
	return promoteStarving(ordered, turn, tie)
}

// putOverSharesBehind moves entries of accounts over their share to the end of their
// group, which is the entries of one tier, priority, kind and class. What an account's
// entries in front would take counts as used by it.
func putOverSharesBehind[T any](entries []Entry[T], keys []sortKey) {
	var behind []sortKey
	for start := 0; start < len(keys); {
		end := start + 1
		for end < len(keys) && keys[end].key.major == keys[start].key.major {
			end++
		}
		behind = partitionByShare(entries, keys[start:end], behind[:0])
		start = end
	}
}

// partitionByShare moves the entries of accounts over their share to the end of the group.
// Behind is scratch space, which is returned for the next group.
func partitionByShare[T any](entries []Entry[T], group, behind []sortKey) []sortKey {
	kept, overtaken := 0, 0
	for _, k := range group {
		e := &entries[k.index]
		if e.Account.charge(e.Demand, e.Calls) {
			behind = append(behind, k)
			continue
		}
		overtaken = len(behind)
		group[kept] = k
		kept++
	}
	for _, k := range behind[:overtaken] {
		if e := &entries[k.index]; e.Rule == NotBehind {
			e.Rule = RuleOverShare
		}
	}
	copy(group[kept:], behind)
	return behind
}

// promoteStarving gives every promotedInterval-th position to starving work.
func promoteStarving[T any](entries []*Entry[T], turn int, tie func(a, b T) int) []*Entry[T] {
	var starving []*Entry[T]
	for _, e := range entries {
		if e.Starving {
			starving = append(starving, e)
		}
	}
	if len(starving) == 0 {
		return entries
	}
	slices.SortFunc(starving, func(a, b *Entry[T]) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), tie(a.Item, b.Item))
	})
	ordered := make([]*Entry[T], 0, len(entries))
	for _, e := range entries {
		if e.ordered {
			continue
		}
		for len(starving) > 0 && starving[0].ordered {
			starving = starving[1:]
		}
		if len(starving) > 0 && (len(ordered)+turn)%promotedInterval == 0 {
			promoted := starving[0]
			promoted.ordered = true
			promoted.Rule = NotBehind
			promoted.Tier = int(tierNormal)
			ordered = append(ordered, promoted)
		}
		if !e.ordered {
			e.ordered = true
			ordered = append(ordered, e)
		}
	}
	return ordered
}
