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

// Pattern: a disk is full for some seconds. The process waits for it, and does
// not end again and again.
func TestAwaitDisk(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	full := 3
	looks := 0
	probe := func() error {
		looks++
		if looks <= full {
			return errors.New("no space left on device")
		}
		return nil
	}
	awaitDisk(context.Background(), probe, time.Millisecond, time.Minute, log)
	c.Check(looks, qt.Equals, full+1)

	full, looks = 1<<30, 0
	started := time.Now()
	awaitDisk(context.Background(), probe, time.Millisecond, 50*time.Millisecond, log)
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Check(looks > 1, qt.IsTrue)
}

func TestProbe(t *testing.T) {
	dir := t.TempDir()
	qt.Check(t, walog.Probe(dir), qt.IsNil)
	qt.Check(t, walog.Probe(dir+"/none"), qt.IsNotNil)
}
