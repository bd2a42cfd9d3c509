package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// diskProbeInterval is the pause between write probes of a failing disk.
	diskProbeInterval = 500 * time.Millisecond
	// diskWaitLimit bounds the wait for the disk. Without the wait the process
	// would exit at once and be restarted in a loop.
	diskWaitLimit = 30 * time.Second
)

// waitForDisk calls probe at the interval until it succeeds, the limit has
// passed or the context ends.
func waitForDisk(ctx context.Context, probe func() error, interval, limit time.Duration, log *logrus.Logger) {
	started := time.Now()
	for time.Since(started) < limit {
		err := probe()
		if err == nil {
			log.WithField("waited", time.Since(started).String()).Info("group: disk takes writes")
			return
		}
		log.WithError(err).Warn("group: disk takes no writes")
		if !SleepContext(ctx, interval) {
			return
		}
	}
}
