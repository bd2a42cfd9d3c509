package shard_test

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/shard"
)

func TestMapConcurrentUpdates(t *testing.T) {
	m := shard.NewMap[int, int]()
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 1000 {
				m.Update(i, func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		}()
	}
	wg.Wait()
	qt.Assert(t, m.Len(), qt.Equals, 1000)
	m.Range(func(_, v int) bool {
		qt.Assert(t, v, qt.Equals, 8)
		return true
	})
}

func ExampleMap() {
	m := shard.NewMap[string, int]()
	m.Set("runs", 3)
	runs, ok := m.Get("runs")
	m.Delete("runs")
	fmt.Println(runs, ok, m.Len())
	// Output: 3 true 0
}
