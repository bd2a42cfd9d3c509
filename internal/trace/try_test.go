package trace

import (
	"encoding/json"
	"fmt"
	"github.com/jasmineward/jasmineward/pkg/sched"
	"testing"
)

func TestTry(t *testing.T) {
	for _, n := range Names() {
		tr := Record(n, 1)
		e, err := Replay(tr, sched.NewEngine(sched.WithHeadroom(tr.Headroom)))
		if err != nil {
			t.Fatal(err)
		}
		b, _ := Replay(tr, sched.NewBaseline())
		for _, r := range []Result{e, b} {
			d, _ := json.Marshal(r)
			fmt.Println(n, string(d))
		}
	}
}
