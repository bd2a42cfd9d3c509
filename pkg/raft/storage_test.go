package raft_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const segmentBytes = 300

// entriesFrom returns entries of the given term with the indexes first to last.
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

// writeCompactedLog writes 100 entries in many segments, saves a snapshot at
// index 60 and compacts the log to the entries from 50 on. It returns the contents
// of the segment files that the compaction removed, by path.
func writeCompactedLog(c *qt.C, dir string) map[string][]byte {
	disk, err := raft.OpenDisk(dir, walog.WithSegmentBytes(segmentBytes))
	c.Assert(err, qt.IsNil)
	hardState := raft.HardState{Term: 1}
	for i := uint64(1); i <= 100; i += 10 {
		c.Assert(disk.Persist(hardState, entriesFrom(i, i+9, 1)), qt.IsNil)
	}
	before := readSegments(c, dir)
	c.Assert(disk.SaveSnapshot(raft.SnapshotMeta{
		Index: 60,
		Term:  1,
	}, []byte("state at 60")), qt.IsNil)
	c.Assert(disk.ReplaceLog(hardState, entriesFrom(50, 100, 1)), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	for name := range readSegments(c, dir) {
		delete(before, name)
	}
	return before
}

// readSegments returns the contents of the segment files by path.
func readSegments(c *qt.C, dir string) map[string][]byte {
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

// TestRemovedSegmentsReappear checks that the compacted log is intact if any of the
// segments removed by a compaction exist again after a power failure. The removal
// of each file may become durable independently of the others.
func TestRemovedSegmentsReappear(t *testing.T) {
	count := len(writeCompactedLog(qt.New(t), t.TempDir()))
	qt.Assert(t, count > 3, qt.IsTrue)
	for mask := range 1 << min(count, 6) {
		c := qt.New(t)
		dir := t.TempDir()
		removed := writeCompactedLog(c, dir)
		n := 0
		for path, data := range removed {
			if mask>>n&1 == 1 {
				c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
			}
			n++
		}
		disk, err := raft.OpenDisk(dir)
		c.Assert(err, qt.IsNil, qt.Commentf("reappeared %b", mask))
		persisted, state, err := disk.Load()
		c.Assert(err, qt.IsNil)
		c.Assert(string(state), qt.Equals, "state at 60")
		c.Assert(persisted.Snapshot.Index, qt.Equals, uint64(60))
		c.Assert(persisted.Entries, qt.DeepEquals, entriesFrom(61, 100, 1))
		c.Assert(disk.Close(), qt.IsNil)
	}
}

// TestTornCompaction checks that no synced entry is lost if the power fails during a
// compaction. The new segment is then incomplete, and the old ones still exist.
func TestTornCompaction(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	removed := writeCompactedLog(c, dir)
	remaining := readSegments(c, dir)
	for path, whole := range remaining {
		for size := range whole {
			copyDir := t.TempDir()
			snapshot, err := os.ReadFile(filepath.Join(dir, "state.snap"))
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(copyDir, "state.snap"), snapshot, 0o600), qt.IsNil)
			for old, data := range removed {
				c.Assert(os.WriteFile(filepath.Join(copyDir, filepath.Base(old)), data, 0o600), qt.IsNil)
			}
			torn := filepath.Join(copyDir, filepath.Base(path))
			c.Assert(os.WriteFile(torn, whole[:size:size], 0o600), qt.IsNil)
			disk, err := raft.OpenDisk(copyDir)
			c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", size))
			persisted, _, err := disk.Load()
			c.Assert(err, qt.IsNil)
			c.Assert(persisted.Entries, qt.DeepEquals, entriesFrom(61, 100, 1), qt.Commentf("%d bytes", size))
			c.Assert(disk.Close(), qt.IsNil)
		}
	}
}

// TestMissingEntries checks that a gap in the log after the snapshot is reported.
func TestMissingEntries(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	disk, err := raft.OpenDisk(dir)
	c.Assert(err, qt.IsNil)
	hardState := raft.HardState{Term: 1}
	c.Assert(disk.Persist(hardState, entriesFrom(1, 10, 1)), qt.IsNil)
	c.Assert(disk.SaveSnapshot(raft.SnapshotMeta{
		Index: 5,
		Term:  1,
	}, nil), qt.IsNil)
	c.Assert(disk.Persist(hardState, entriesFrom(12, 20, 1)), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	_, err = raft.OpenDisk(dir)
	c.Assert(err, qt.ErrorIs, raft.ErrStorage)
}

// TestLogTooLargeForOneRecord checks that a log that does not fit into one record is
// kept in full and not compacted.
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
	c.Assert(disk.ReplaceLog(raft.HardState{Term: 2}, entries), qt.IsNil)
	c.Assert(disk.Close(), qt.IsNil)
	disk, err = raft.OpenDisk(dir)
	c.Assert(err, qt.IsNil)
	persisted, _, err := disk.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(persisted.HardState.Term, qt.Equals, uint64(2))
	c.Assert(persisted.Entries, qt.HasLen, len(entries))
	c.Assert(disk.Close(), qt.IsNil)
}

// errFull is the error of a disk without room for another segment.
var errFull = errors.New("no space left on device")

// installWithoutCompaction writes a log of entries 1 to 20 in term 1 and saves a
// snapshot that replaces it, but leaves the log as it is because the disk has no
// room for a new segment.
func installWithoutCompaction(c *qt.C, dir string, meta raft.SnapshotMeta) {
	full := false
	disk, err := raft.OpenDisk(dir, walog.WithCreate(func(path string) (walog.File, error) {
		if full {
			return nil, errFull
		}
		return os.Create(path)
	}))
	c.Assert(err, qt.IsNil)
	c.Assert(disk.Persist(raft.HardState{Term: 1}, entriesFrom(1, 20, 1)), qt.IsNil)
	c.Assert(disk.Persist(raft.HardState{Term: meta.Term}, nil), qt.IsNil)
	c.Assert(disk.SaveSnapshot(meta, []byte("state")), qt.IsNil)
	full = true
	c.Assert(disk.ReplaceLog(raft.HardState{Term: meta.Term}, nil), qt.ErrorIs, raft.ErrStorage)
	_ = disk.Close()
}

// TestInstallInterruptedBeforeCompaction checks that entries are kept that follow an
// installed snapshot after the log before it could not be compacted: the disk was
// full, or the process ended between the two. The stored log then still holds the
// entries from before the snapshot. With a gap between them and the new entries, the
// second start was refused for good; where they conflict with the snapshot, it lost
// the new entries, which had been acknowledged.
func TestInstallInterruptedBeforeCompaction(t *testing.T) {
	for name, meta := range map[string]raft.SnapshotMeta{
		"gap": {
			Index: 100,
			Term:  2,
		},
		"conflict": {
			Index: 15,
			Term:  2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			installWithoutCompaction(c, dir, meta)
			disk, err := raft.OpenDisk(dir)
			c.Assert(err, qt.IsNil)
			persisted, _, err := disk.Load()
			c.Assert(err, qt.IsNil)
			c.Assert(persisted.Entries, qt.HasLen, 0)
			added := entriesFrom(meta.Index+1, meta.Index+3, 2)
			c.Assert(disk.Persist(raft.HardState{Term: 2}, added), qt.IsNil)
			c.Assert(disk.Close(), qt.IsNil)
			for range 2 {
				disk, err = raft.OpenDisk(dir)
				c.Assert(err, qt.IsNil)
				persisted, state, err := disk.Load()
				c.Assert(err, qt.IsNil)
				c.Check(string(state), qt.Equals, "state")
				c.Check(persisted.HardState.Term, qt.Equals, uint64(2))
				c.Check(persisted.Entries, qt.DeepEquals, added)
				c.Assert(disk.Close(), qt.IsNil)
			}
		})
	}
}
