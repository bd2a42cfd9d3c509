package quota_test

import (
	"fmt"

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
