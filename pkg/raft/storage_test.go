package raft_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const segmentBytes = 300

// entriesFrom returns entries of the term, the first and the last included.
func entriesFrom(first, last, term uint64) []raft.Entry {
	var all []raft.Entry
	for i := first; i <= last; i++ {
		all = append(all, raft.Entry{
			Index: i,
			Term:  term,
			Data:  []byte(fmt.Sprint("entry ", i)),
		})
	}
	return all
}

// compacted writes 100 entries in many segments, a snapshot of the first 60 and
// a log from 50 on. It returns the files that the compaction removed.
func compacted(c *qt.C, dir string) map[string][]byte {
	disk, err := raft.OpenDisk(dir, walog.WithSegmentBytes(segmentBytes))
	c.Assert(err, qt.IsNil)
	hard := raft.HardState{Term: 1}
	for i := uint64(1); i <= 100; i += 10 {
		c.Assert(disk.Persist(hard, entriesFrom(i, i+9, 1)), qt.IsNil)
	}
	before := segments(c, dir)
	c.Assert(disk.SaveSnapshot(raft.SnapshotMeta{
		Index: 60,
		Term:  1,
	}, []byte("state at 60")), qt.IsNil)
	c.Assert(disk.Reset(hard, entriesFrom(50, 100, 1)), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	for name := range segments(c, dir) {
		delete(before, name)
	}
	return before
}

func segments(c *qt.C, dir string) map[string][]byte {
	paths, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	c.Assert(err, qt.IsNil)
	found := map[string][]byte{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		found[path] = data
	}
	return found
}

// The removal of each old segment may outlast a loss of power or not, whatever
// became of the others. What a compaction had kept is there in each case.
func TestRemovedSegmentsMayComeBack(t *testing.T) {
	count := len(compacted(qt.New(t), t.TempDir()))
	qt.Assert(t, count > 3, qt.IsTrue)
	for kept := range 1 << min(count, 6) {
		c := qt.New(t)
		dir := t.TempDir()
		removed := compacted(c, dir)
		n := 0
		for path, data := range removed {
			if kept>>n&1 == 1 {
				c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
			}
			n++
		}
		disk, err := raft.OpenDisk(dir)
		c.Assert(err, qt.IsNil, qt.Commentf("kept %b", kept))
		restored, state, err := disk.Load()
		c.Assert(err, qt.IsNil)
		c.Assert(string(state), qt.Equals, "state at 60")
		c.Assert(restored.Snapshot.Index, qt.Equals, uint64(60))
		c.Assert(restored.Entries, qt.DeepEquals, entriesFrom(61, 100, 1))
		c.Assert(disk.Close(), qt.IsNil)
	}
}

// A loss of power in the middle of a compaction leaves a part of what it wrote,
// and all that it has not removed yet. Nothing that was synced may be missing.
func TestTornCompactionLosesNothing(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	removed := compacted(c, dir)
	newest := segments(c, dir)
	for path, whole := range newest {
		for size := range whole {
			again := t.TempDir()
			snapshot, err := os.ReadFile(filepath.Join(dir, "state.snap"))
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(again, "state.snap"), snapshot, 0o600), qt.IsNil)
			for old, data := range removed {
				c.Assert(os.WriteFile(filepath.Join(again, filepath.Base(old)), data, 0o600), qt.IsNil)
			}
			torn := filepath.Join(again, filepath.Base(path))
			c.Assert(os.WriteFile(torn, whole[:size:size], 0o600), qt.IsNil)
			disk, err := raft.OpenDisk(again)
			c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", size))
			restored, _, err := disk.Load()
			c.Assert(err, qt.IsNil)
			c.Assert(restored.Entries, qt.DeepEquals, entriesFrom(61, 100, 1), qt.Commentf("%d bytes", size))
			c.Assert(disk.Close(), qt.IsNil)
		}
	}
}

// A hole behind the snapshot is damage, and is told.
func TestLostEntriesAreTold(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	disk, err := raft.OpenDisk(dir)
	c.Assert(err, qt.IsNil)
	hard := raft.HardState{Term: 1}
	c.Assert(disk.Persist(hard, entriesFrom(1, 10, 1)), qt.IsNil)
	c.Assert(disk.SaveSnapshot(raft.SnapshotMeta{
		Index: 5,
		Term:  1,
	}, nil), qt.IsNil)
	c.Assert(disk.Persist(hard, entriesFrom(12, 20, 1)), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	_, err = raft.OpenDisk(dir)
	c.Assert(err, qt.ErrorIs, raft.ErrStorage)
}

// A log that does not fit into one record is not compacted, and loses nothing.
func TestLogTooLargeForOneRecord(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	disk, err := raft.OpenDisk(dir)
	c.Assert(err, qt.IsNil)
	entries := entriesFrom(1, 66, 1)
	for i := range entries {
		entries[i].Data = make([]byte, 1<<20)
	}
	c.Assert(disk.Persist(raft.HardState{Term: 1}, entries), qt.IsNil)
	c.Assert(disk.Reset(raft.HardState{Term: 2}, entries), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	disk, err = raft.OpenDisk(dir)
	c.Assert(err, qt.IsNil)
	restored, _, err := disk.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Hard.Term, qt.Equals, uint64(2))
	c.Assert(restored.Entries, qt.HasLen, len(entries))
	c.Assert(disk.Close(), qt.IsNil)
}
