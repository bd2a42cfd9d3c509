package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// diskRetry is the pause between two looks at a disk that takes no writes.
	diskRetry = 500 * time.Millisecond
	// diskPatience is how long such a disk is waited for: a process that ends
	// at once would be started again and again.
	diskPatience = 30 * time.Second
)

// awaitDisk waits until the probe finds that the disk takes writes, the
// patience is over or the context ends.
func awaitDisk(ctx context.Context, probe func() error, retry, patience time.Duration, log *logrus.Logger) {
	since := time.Now()
	for time.Since(since) < patience {
		err := probe()
		if err == nil {
			log.WithField("waited", time.Since(since).String()).Info("group: disk takes writes")
			return
		}
		log.WithError(err).Warn("group: disk takes no writes")
		if !Pause(ctx, retry) {
			return
		}
	}
}
