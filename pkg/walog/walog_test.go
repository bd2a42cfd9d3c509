package walog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// openLog opens the log and returns the records replayed from it.
func openLog(t testing.TB, dir string) ([]string, *Log, error) {
	t.Helper()
	var records []string
	log, err := Open(dir, func(record []byte) error {
		records = append(records, string(record))
		return nil
	}, WithSegmentBytes(200))
	return records, log, err
}

// writeRecords appends and syncs count records, one at a time.
func writeRecords(t testing.TB, dir string, count int) {
	t.Helper()
	_, log, err := openLog(t, dir)
	qt.Assert(t, err, qt.IsNil)
	for i := range count {
		qt.Assert(t, log.Append([]byte(fmt.Sprintf("record %03d", i))), qt.IsNil)
		qt.Assert(t, log.Sync(), qt.IsNil)
	}
	qt.Assert(t, log.Close(), qt.IsNil)
}

func segmentPaths(t testing.TB, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	qt.Assert(t, err, qt.IsNil)
	return names
}

func TestReopen(t *testing.T) {
	dir := t.TempDir()
	writeRecords(t, dir, 50)
	records, log, err := openLog(t, dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.HasLen, 50)
	qt.Assert(t, len(segmentPaths(t, dir)) > 3, qt.IsTrue)
	qt.Assert(t, log.Compact([][]byte{[]byte("kept")}), qt.IsNil)
	qt.Assert(t, log.Close(), qt.IsNil)
	records, _, err = openLog(t, dir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, records, qt.DeepEquals, []string{"kept"})
}

// TestTornTail truncates the last segment at every offset and checks that all
// complete records are kept.
func TestTornTail(t *testing.T) {
	original := t.TempDir()
	writeRecords(t, original, 5)
	data, err := os.ReadFile(segmentPaths(t, original)[0])
	qt.Assert(t, err, qt.IsNil)
	for size := range len(data) {
		dir := t.TempDir()
		path := filepath.Join(dir, filepath.Base(segmentPaths(t, original)[0]))
		qt.Assert(t, os.WriteFile(path, data[:size], 0o600), qt.IsNil)
		records, _, err := openLog(t, dir)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, records, qt.HasLen, size/(headerBytes+len("record 000")))
	}
}

// TestCorrupt checks that Open rejects a log with a flipped bit in a record that
// is followed by others.
func TestCorrupt(t *testing.T) {
	dir := t.TempDir()
	writeRecords(t, dir, 5)
	path := segmentPaths(t, dir)[0]
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	data[headerBytes+2] ^= 1
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	_, _, err = openLog(t, dir)
	qt.Assert(t, errors.Is(err, ErrCorrupt), qt.IsTrue)
}

// limitedFile is a file on a disk with a limited amount of free space.
type limitedFile struct {
	*os.File
	free *int
}

func (f limitedFile) Write(p []byte) (int, error) {
	if *f.free -= len(p); *f.free < 0 {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// TestFullDisk checks that a log fails permanently once the disk is full, and
// that the records synced before are still there when it is opened again.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	free := 100
	log, err := Open(dir, func([]byte) error { return nil }, WithCreate(func(path string) (File, error) {
		file, err := createFile(path)
		if err != nil {
			return nil, err
		}
		return limitedFile{
			File: file.(*os.File),
			free: &free,
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
	records, _, err := openLog(t, dir)
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
	// A crash while a snapshot is saved leaves a partial temporary file.
	qt.Assert(t, os.WriteFile(filepath.Join(dir, snapshotTempName), []byte("half"), 0o600), qt.IsNil)
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

// FuzzReplay checks that Open does not panic on arbitrary segment contents.
func FuzzReplay(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		path := filepath.Join(dir, "0000000000000001"+segmentSuffix)
		qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
		_, log, err := openLog(t, dir)
		if err == nil {
			_ = log.Close()
		}
	})
}

// BenchmarkSync measures the cost of appending and syncing batches of records.
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
