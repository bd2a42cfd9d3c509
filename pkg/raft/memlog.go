package raft

// memLog is the part of the log that is held in memory.
type memLog struct {
	// base describes the state before the first entry.
	base    SnapshotMeta
	entries []Entry
	// memberships holds the membership entries of the log in order of index, so
	// that the previous membership is restored if the newest is truncated.
	memberships []indexedMembership
}

type indexedMembership struct {
	index      uint64
	membership Membership
}

func (l *memLog) firstIndex() uint64 {
	return l.base.Index + 1
}

func (l *memLog) lastIndex() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

// term returns the term of the entry at the index, and whether it is known.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// slice returns a copy of the entries between the given indexes, inclusive,
// limited to maxBytes. It returns at least one entry if there is one.
func (l *memLog) slice(from, to uint64, maxBytes int) []Entry {
	if from < l.firstIndex() || from > to {
		return nil
	}
	part := l.entries[from-l.firstIndex() : to-l.base.Index]
	size := 0
	for i, e := range part {
		size += len(e.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			part = part[:i]
			break
		}
	}
	return append([]Entry(nil), part...)
}

// countBefore returns how many of the entries up to the index, from there backwards, have
// at most maxBytes together.
func (l *memLog) countBefore(index uint64, maxBytes int) uint64 {
	size := 0
	count := uint64(0)
	for i := index; i >= l.firstIndex() && i <= l.lastIndex(); i-- {
		size += len(l.entries[i-l.firstIndex()].Data) + entryOverhead
		if size > maxBytes {
			break
		}
		count++
	}
	return count
}

func (l *memLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		l.memberships = append(l.memberships, indexedMembership{
			index:      e.Index,
			membership: decodeMembership(e.Data),
		})
	}
}

// truncateFrom removes the entries from the index on.
func (l *memLog) truncateFrom(from uint64) {
	l.entries = append([]Entry(nil), l.entries[:from-l.firstIndex()]...)
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= from; n-- {
		l.memberships = l.memberships[:n-1]
	}
}

// compact discards the entries up to meta.Index, or all entries if the log differs
// there.
func (l *memLog) compact(meta SnapshotMeta) {
	if meta.Index <= l.base.Index {
		return
	}
	if term, ok := l.term(meta.Index); ok && term == meta.Term {
		l.entries = append([]Entry(nil), l.entries[meta.Index-l.base.Index:]...)
	} else {
		l.entries = nil
	}
	kept := l.memberships[:0]
	for _, m := range l.memberships {
		if m.index > meta.Index && len(l.entries) > 0 {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
	l.base = meta
}

// membership returns the newest membership in the log and its index.
func (l *memLog) membership() (Membership, uint64) {
	return l.membershipAt(l.lastIndex())
}

// membershipAt returns the membership that applies at the index, and the index of
// its entry.
func (l *memLog) membershipAt(index uint64) (Membership, uint64) {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership, l.memberships[i].index
		}
	}
	return l.base.Membership, l.base.Index
}
