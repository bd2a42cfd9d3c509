package walog

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// power is a disk that keeps, when the power goes, what was synced.
type power struct {
	synced map[string][]byte
	// killed has syncs fail, as in a process that ends before they are done.
	killed bool
}

var errKilled = errors.New("killed")

func (p *power) create(path string) (File, error) {
	f, err := createFile(path)
	if err != nil {
		return nil, err
	}
	return &poweredFile{
		File:  f,
		path:  path,
		power: p,
	}, p.settle(path)
}

func (p *power) settle(path string) error {
	if p.killed {
		return errKilled
	}
	data, err := os.ReadFile(path)
	p.synced[filepath.Base(path)] = data
	return err
}

// lose returns a folder with what is left after a loss of power.
func (p *power) lose(c *qt.C) string {
	dir := c.TempDir()
	for name, data := range p.synced {
		c.Assert(os.WriteFile(filepath.Join(dir, name), data, filePerm), qt.IsNil)
	}
	return dir
}

type poweredFile struct {
	File

	path  string
	power *power
}

func (f *poweredFile) Sync() error {
	return f.power.settle(f.path)
}

func (p *power) open(c *qt.C, dir string) (*Log, []string) {
	var read []string
	l, err := Open(dir, func(record []byte) error {
		read = append(read, string(record))
		return nil
	}, WithCreate(p.create), WithSettle(p.settle))
	c.Assert(err, qt.IsNil)
	return l, read
}

// A process is killed between a write and its sync. The next one reads what was
// written and adds to it; then the power goes. No record may be missing in the
// middle.
func TestPowerAfterKill(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	p := &power{synced: map[string][]byte{}}
	first, _ := p.open(c, dir)
	c.Assert(first.Append([]byte("a")), qt.IsNil)
	c.Assert(first.Sync(), qt.IsNil)
	c.Assert(first.Append([]byte("b")), qt.IsNil)
	p.killed = true
	c.Assert(first.Sync(), qt.ErrorIs, ErrFailed)
	p.killed = false
	second, read := p.open(c, dir)
	c.Assert(read, qt.DeepEquals, []string{"a", "b"})
	c.Assert(second.Append([]byte("c")), qt.IsNil)
	c.Assert(second.Sync(), qt.IsNil)
	_, read = p.open(c, p.lose(c))
	c.Assert(read, qt.DeepEquals, []string{"a", "b", "c"})
}
