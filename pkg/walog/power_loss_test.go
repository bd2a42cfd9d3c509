package walog

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// powerLossDisk simulates a disk that keeps only synced data when the power
// fails.
type powerLossDisk struct {
	synced map[string][]byte
	// killed makes syncs fail, as if the process were killed before they
	// completed.
	killed bool
}

var errKilled = errors.New("killed")

func (d *powerLossDisk) create(path string) (File, error) {
	f, err := createFile(path)
	if err != nil {
		return nil, err
	}
	return &trackedFile{
		File: f,
		path: path,
		disk: d,
	}, d.sync(path)
}

func (d *powerLossDisk) sync(path string) error {
	if d.killed {
		return errKilled
	}
	data, err := os.ReadFile(path)
	d.synced[filepath.Base(path)] = data
	return err
}

// losePower returns a directory with the files that remain after a power failure.
func (d *powerLossDisk) losePower(c *qt.C) string {
	dir := c.TempDir()
	for name, data := range d.synced {
		c.Assert(os.WriteFile(filepath.Join(dir, name), data, filePerm), qt.IsNil)
	}
	return dir
}

// trackedFile is a segment file whose syncs are recorded by the disk.
type trackedFile struct {
	File

	path string
	disk *powerLossDisk
}

func (f *trackedFile) Sync() error {
	return f.disk.sync(f.path)
}

func (d *powerLossDisk) open(c *qt.C, dir string) (*Log, []string) {
	var read []string
	l, err := Open(dir, func(record []byte) error {
		read = append(read, string(record))
		return nil
	}, WithCreate(d.create), WithSyncFile(d.sync))
	c.Assert(err, qt.IsNil)
	return l, read
}

// TestPowerLossAfterKill checks that no record is missing in the middle of the
// log when a process is killed between a write and its sync, the next process
// replays the written record and appends another, and then the power fails.
func TestPowerLossAfterKill(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	disk := &powerLossDisk{synced: map[string][]byte{}}
	first, _ := disk.open(c, dir)
	c.Assert(first.Append([]byte("a")), qt.IsNil)
	c.Assert(first.Sync(), qt.IsNil)
	c.Assert(first.Append([]byte("b")), qt.IsNil)
	disk.killed = true
	c.Assert(first.Sync(), qt.ErrorIs, ErrFailed)
	disk.killed = false
	second, read := disk.open(c, dir)
	c.Assert(read, qt.DeepEquals, []string{"a", "b"})
	c.Assert(second.Append([]byte("c")), qt.IsNil)
	c.Assert(second.Sync(), qt.IsNil)
	_, read = disk.open(c, disk.losePower(c))
	c.Assert(read, qt.DeepEquals, []string{"a", "b", "c"})
}
