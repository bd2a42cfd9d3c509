package boot_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/boot"
)

// A later deadline must not lengthen the one that a caller has set.
func TestDeadlineIsNotPutOff(t *testing.T) {
	c := qt.New(t)
	ctx := boot.WithDeadline(context.Background(), boot.Now()-time.Second)
	c.Check(boot.Expired(boot.WithDeadline(ctx, boot.Now()+time.Hour)), qt.IsTrue)
	ctx = boot.WithDeadline(context.Background(), boot.Now()+time.Hour)
	c.Check(boot.Expired(boot.WithDeadline(ctx, boot.Now()-time.Second)), qt.IsTrue)
}

// An order is sent only while its deadline is not over.
func ExampleExpired() {
	ctx := boot.WithDeadline(context.Background(), boot.Now()+time.Hour)
	fmt.Println(boot.Expired(ctx))
	ctx = boot.WithDeadline(ctx, boot.Now()-time.Millisecond)
	fmt.Println(boot.Expired(ctx))
	// Output:
	// false
	// true
}
