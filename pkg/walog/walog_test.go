package walog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func reopen(t testing.TB, dir string) ([]string, *Log, error) {
	t.Helper()
	var records []string
	log, err := Open(dir, func(record []byte) error {
		records = append(records, string(record))
		return nil
	}, WithSegmentBytes(200))
	return records, log, err
}

func fill(t testing.TB, dir string, count int) {
	t.Helper()
	_, log, err := reopen(t, dir)
	qt.Assert(t, err, qt.IsNil)
	for i := range count {
		qt.Assert(t, log.Append([]byte(fmt.Sprintf("record %03d", i))), qt.IsNil)
		qt.Assert(t, log.Sync(), qt.IsNil)
	}
	qt.Assert(t, log.Close(), qt.IsNil)
}

func segments(t testing.TB, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	qt.Assert(t, err, qt.IsNil)
	return names
}

func TestReopen(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, 50)
	records, log, err := reopen(t, dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.HasLen, 50)
	qt.Assert(t, len(segments(t, dir)) > 3, qt.IsTrue)
	qt.Assert(t, log.Compact([][]byte{[]byte("kept")}), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)
	records, _, err = reopen(t, dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.DeepEquals, []string{"kept"})
}

// TestTornTail cuts the last segment at every byte: what was whole stays.
func TestTornTail(t *testing.T) {
	whole := t.TempDir()
	fill(t, whole, 5)
	data, err := os.ReadFile(segments(t, whole)[0])
	qt.Assert(t, err, qt.IsNil)
	for cut := range len(data) {
		dir := t.TempDir()
		path := filepath.Join(dir, filepath.Base(segments(t, whole)[0]))
		qt.Assert(t, os.WriteFile(path, data[:cut], 0o600), qt.IsNil)
		records, _, err := reopen(t, dir)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, records, qt.HasLen, cut/(headerBytes+len("record 000")))
	}
}

// TestCorrupt flips a bit in the middle: the log is refused.
func TestCorrupt(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, 5)
	path := segments(t, dir)[0]
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	data[headerBytes+2] ^= 1
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	_, _, err = reopen(t, dir)
	qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue)
}

// fullDisk is a file that takes only so many bytes.
type fullDisk struct {
	*os.File
	left *int
}

func (f fullDisk) Write(p []byte) (int, error) {
	if *f.left -= len(p); *f.left < 0 {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// TestFullDisk sees that a log whose disk is full fails for good, and that
// what had been synced is there afterwards.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	left := 100
	log, err := Open(dir, func([]byte) error { return nil }, WithCreate(func(path string) (File, error) {
		file, err := createFile(path)
		if err != nil {
			return nil, err
		}
		return fullDisk{
			File: file.(*os.File),
			left: &left,
		}, nil
	}))
	qt.Assert(t, err, qt.IsNil)
	synced := 0
	for err == nil {
		qt.Assert(t, log.Append([]byte("record 000")), qt.IsNil)
		if err = log.Sync(); err == nil {
			synced++
		}
	}
	qt.Assert(t, errors.Is(err, ErrFailed), qt.IsTrue)
	qt.Assert(t, errors.Is(log.Append(nil), ErrFailed), qt.IsTrue)
	records, _, err := reopen(t, dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.HasLen, synced)
}

func TestSnapshot(t *testing.T) {
	dir := t.TempDir()
	state, err := LoadSnapshot(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.IsNil)
	qt.Assert(t, SaveSnapshot(dir, []byte("one")), qt.IsNil)
	qt.Assert(t, SaveSnapshot(dir, []byte("two")), qt.IsNil)
	// A crash in the middle of the next one leaves it aside.
	qt.Assert(t, os.WriteFile(filepath.Join(dir, snapshotAside), []byte("half"), 0o600), qt.IsNil)
	state, err = LoadSnapshot(dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(state), qt.Equals, "two")
	path := filepath.Join(dir, snapshotName)
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(path, append([]byte("jwsnap99"), data[8:]...), 0o600), qt.IsNil)
	_, err = LoadSnapshot(dir)
	qt.Assert(t, errors.Is(err, ErrSnapshotVersion), qt.IsTrue)
	data[len(snapshotMagic)] ^= 1
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	_, err = LoadSnapshot(dir)
	qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue)
}

// FuzzReplay sees that no bytes of a segment break the opening of a log.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		path := filepath.Join(dir, "0000000000000001"+segmentSuffix)
		qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
		_, log, err := reopen(t, dir)
		if err == nil {
			_ = log.Close()
		}
	})
}

// BenchmarkSync appends and syncs one record an operation: the log's cost
// alone.
func BenchmarkSync(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			log, err := Open(b.TempDir(), func([]byte) error { return nil })
			qt.Assert(b, err, qt.IsNil)
			record := make([]byte, 200)
			b.ResetTimer()
			for range b.N {
				for range batch {
					qt.Assert(b, log.Append(record), qt.IsNil)
				}
				qt.Assert(b, log.Sync(), qt.IsNil)
			}
			b.ReportMetric(float64(batch*b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
