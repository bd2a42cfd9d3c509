package dedup_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/dedup"
)

var window = dedup.Window{
	MaxAge:       10 * time.Minute,
	MaxClockSkew: time.Minute,
}

func TestWindow(t *testing.T) {
	c := qt.New(t)
	id, err := dedup.NewID()
	c.Assert(err, qt.IsNil)
	now := time.Now()
	c.Check(window.Check(id, now), qt.IsNil)
	c.Check(window.Check(id, now.Add(11*time.Minute)), qt.Equals, dedup.ErrTooOld)
	c.Check(window.Check(id, now.Add(-2*time.Minute)), qt.Equals, dedup.ErrInFuture)
	c.Check(window.IsExpired(id, now.Add(9*time.Minute)), qt.IsFalse)
	c.Check(window.IsExpired(id, now.Add(11*time.Minute)), qt.IsTrue)
	for _, invalid := range []string{"", "x", "6ba7b810-9dad-11d1-80b4-00c04fd430c8", "{" + id + "}"} {
		c.Check(window.Check(invalid, now), qt.Equals, dedup.ErrInvalidID, qt.Commentf("%q", invalid))
	}
}

func ExampleWindow() {
	created, err := dedup.Time("01932c07-6f00-7000-8000-000000000001")
	if err != nil {
		fmt.Println(err)
		return
	}
	err = window.Check("01932c07-6f00-7000-8000-000000000001", created.Add(time.Hour))
	fmt.Println(err)
	// Output: request id is older than the retry window
}
