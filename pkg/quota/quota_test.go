package quota_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

func ExampleRoom_Dominant() {
	fleet := quota.Room{
		CPU:    100000,
		Memory: 1000,
	}
	used := quota.Room{
		CPU:    10000,
		Memory: 500,
	}
	fmt.Println(used.Dominant(fleet), used.Times(2).Fits(fleet), used.Times(3).Fits(fleet))
	// Output: 0.5 true false
}

func TestFitCount(t *testing.T) {
	c := qt.New(t)
	free := quota.Room{
		CPU:    7000,
		Memory: 100,
	}
	c.Check(quota.Room{CPU: 2000}.FitCount(free), qt.Equals, 3)
	c.Check(quota.Room{
		CPU:    2000,
		Memory: 60,
	}.FitCount(free), qt.Equals, 1)
	c.Check(quota.Room{Accelerators: 1}.FitCount(free), qt.Equals, 0)
	c.Check(quota.Room{Memory: 10}.FitCount(quota.Room{
		CPU:    -1,
		Memory: 50,
	}), qt.Equals, 0)
}

func TestScale(t *testing.T) {
	got := quota.Room{
		CPU:          1001,
		Accelerators: 3,
	}.Scale(0.5)
	qt.Check(t, got, qt.Equals, quota.Room{
		CPU:          500,
		Accelerators: 1,
	})
}
