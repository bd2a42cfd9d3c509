package group

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/pkg/walog"
)

// A disk that is full for some seconds must not make the process exit and be
// restarted in a loop: it waits until the disk accepts writes again, up to a
// limit.
func TestWaitForDisk(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	failures := 3
	probes := 0
	probe := func() error {
		probes++
		if probes <= failures {
			return errors.New("no space left on device")
		}
		return nil
	}
	waitForDisk(context.Background(), probe, time.Millisecond, time.Minute, log)
	c.Check(probes, qt.Equals, failures+1)

	failures, probes = 1<<30, 0
	started := time.Now()
	waitForDisk(context.Background(), probe, time.Millisecond, 50*time.Millisecond, log)
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Check(probes > 1, qt.IsTrue)
}

// A probe succeeds in a writable directory and fails in a missing one.
func TestDiskProbe(t *testing.T) {
	dir := t.TempDir()
	qt.Check(t, walog.Probe(dir), qt.IsNil)
	qt.Check(t, walog.Probe(dir+"/none"), qt.IsNotNil)
}
