package quota_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

func ExampleResources_DominantShare() {
	fleet := quota.Resources{
		CPU:    100000,
		Memory: 1000,
	}
	used := quota.Resources{
		CPU:    10000,
		Memory: 500,
	}
	fmt.Println(used.DominantShare(fleet), used.Times(2).FitsIn(fleet), used.Times(3).FitsIn(fleet))
	// Output: 0.5 true false
}

func TestFitCount(t *testing.T) {
	c := qt.New(t)
	free := quota.Resources{
		CPU:    7000,
		Memory: 100,
	}
	c.Check(quota.Resources{CPU: 2000}.FitCount(free), qt.Equals, 3)
	c.Check(quota.Resources{
		CPU:    2000,
		Memory: 60,
	}.FitCount(free), qt.Equals, 1)
	c.Check(quota.Resources{Accelerators: 1}.FitCount(free), qt.Equals, 0)
	c.Check(quota.Resources{Memory: 10}.FitCount(quota.Resources{
		CPU:    -1,
		Memory: 50,
	}), qt.Equals, 0)
}

func TestScale(t *testing.T) {
	got := quota.Resources{
		CPU:          1001,
		Accelerators: 3,
	}.Scale(0.5)
	qt.Check(t, got, qt.Equals, quota.Resources{
		CPU:          500,
		Accelerators: 1,
	})
}
