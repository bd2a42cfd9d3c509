package raft

// memLog is the part of the log behind the last snapshot, in memory.
type memLog struct {
	base    SnapshotMeta
	entries []Entry
	// memberships holds every membership entry behind the snapshot, oldest
	// first, so that a cut log falls back to the one before.
	memberships []indexedMembership
}

type indexedMembership struct {
	index      uint64
	membership Membership
}

func (l *memLog) first() uint64 {
	return l.base.Index + 1
}

func (l *memLog) last() uint64 {
	return l.base.Index + uint64(len(l.entries))
}

// term returns the term at the index, and whether the log still knows it.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// slice returns a copy of the entries from the index on, up to the given
// count of entries and bytes, and always at least one if there is one.
func (l *memLog) slice(from, to uint64, maxBytes int) []Entry {
	if from < l.first() || from > to {
		return nil
	}
	part := l.entries[from-l.first() : to-l.base.Index]
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

// cut removes every entry from the index on.
func (l *memLog) cut(from uint64) {
	l.entries = append([]Entry(nil), l.entries[:from-l.first()]...)
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= from; n-- {
		l.memberships = l.memberships[:n-1]
	}
}

// compact forgets what the snapshot stands for.
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
	return l.membershipAt(l.last())
}

// membershipAt returns the membership in force at the index.
func (l *memLog) membershipAt(index uint64) (Membership, uint64) {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership, l.memberships[i].index
		}
	}
	return l.base.Membership, l.base.Index
}
