// Package boot reads a monotonic clock that also advances while the machine is
// suspended, and keeps deadlines by it. The timers of a context stand still during a
// suspension, and those of a stopped process fire only some time after it goes on.
package boot

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. Where there is no such clock, it
// returns the time of day.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// deadlineKey is the key of the deadline in a context.
type deadlineKey struct{}

// WithDeadline returns a context with a deadline by the clock of Now. It does not end the
// context: who is about to do something irrevocable checks Expired first. An earlier
// deadline of the context remains.
func WithDeadline(ctx context.Context, at time.Duration) context.Context {
	if earlier, ok := ctx.Value(deadlineKey{}).(time.Duration); ok && earlier <= at {
		return ctx
	}
	return context.WithValue(ctx, deadlineKey{}, at)
}

// Expired reports whether the deadline of the context is over.
func Expired(ctx context.Context) bool {
	at, ok := ctx.Value(deadlineKey{}).(time.Duration)
	return ok && Now() > at
}
