package walog

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

const (
	probeName  = "probe.tmp"
	probeBytes = 64 << 10
)

// Probe checks that the directory is writable: it writes a small file, syncs it
// and removes it.
func Probe(dir string) error {
	path := filepath.Join(dir, probeName)
	defer func() { _ = os.Remove(path) }()
	if err := writeSynced(path, make([]byte, probeBytes)); err != nil {
		return errors.Wrap(err, "probe folder")
	}
	return nil
}
