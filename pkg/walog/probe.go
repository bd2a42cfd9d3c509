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

// Probe tells whether the folder takes writes: it writes a small file, syncs
// it and removes it. It returns what went wrong.
func Probe(dir string) error {
	path := filepath.Join(dir, probeName)
	defer func() { _ = os.Remove(path) }()
	if err := writeSynced(path, make([]byte, probeBytes)); err != nil {
		return errors.Wrap(err, "probe folder")
	}
	return nil
}
