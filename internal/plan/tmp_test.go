package plan
import ("testing";"fmt";"time";"github.com/jasmineward/jasmineward/internal/graph";"github.com/jasmineward/jasmineward/pkg/quota")
func BenchmarkCalm(b *testing.B) {
	for _, n := range []int{350, 3000} {
	b.Run(fmt.Sprint(n), func(b *testing.B) {
	s := newSite(n, quota.Room{CPU: 3_000_000_000, Memory: 3_000_000_000})
	for i := range 10 {
		id := graph.JobID(fmt.Sprintf("j%03d", i))
		s.submit("advised", id, step(10, 2000))
		advised := &Advised{Good: map[string]Ticket{}, Asked: map[string]bool{}}
		for k := range 30 {
			target := fmt.Sprintf("w%02d", (i+k)%350)
			advised.Asked[target] = true
			advised.Good[target] = Ticket{Until: s.now.Add(time.Second)}
		}
		s.advice[StepKey{Job: id}] = advised
	}
	s.submit("advised", "x", step(10,2000))
	b.ReportAllocs()
	for b.Loop() { s.decide() }
	})}
}
