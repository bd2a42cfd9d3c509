package peer

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// The known leader follows the reports of peers and confirmed answers. An
// address that has just failed to answer is not taken from a report again.
func TestTableLeader(t *testing.T) {
	c := qt.New(t)
	table := NewTable(NewDialer(&Traffic{}))
	defer table.Close()
	table.SuggestLeader("a")
	table.SuggestLeader("")
	c.Check(table.Leader(), qt.Equals, "a")
	table.MarkFailed("b")
	c.Check(table.Leader(), qt.Equals, "a")
	table.MarkFailed("a")
	c.Check(table.Leader(), qt.Equals, "")
	c.Check(table.RecentlyFailed("a"), qt.IsTrue)
	table.SuggestLeader("a")
	c.Check(table.Leader(), qt.Equals, "")
	table.SetLeader("a")
	c.Check(table.Leader(), qt.Equals, "a")

	table.SetMembership(raft.Membership{Members: []raft.Member{{ID: 1}}})
	table.SetMembership(raft.Membership{})
	c.Check(table.Membership().Members, qt.HasLen, 1)
	c.Check(table.Client("a"), qt.Equals, table.Client("a"))
}

// A call of FindLeader that arrives while a search is in progress starts no
// second one.
func TestConcurrentFindsShareOneSearch(t *testing.T) {
	c := qt.New(t)
	table := NewTable(NewDialer(&Traffic{}))
	started, release := make(chan struct{}), make(chan struct{})
	searches := 0
	search := func() {
		searches++
		close(started)
		<-release
	}
	var first sync.WaitGroup
	first.Go(func() { table.FindLeader(context.Background(), search) })
	<-started
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	table.FindLeader(cancelled, search)
	close(release)
	first.Wait()
	c.Check(searches, qt.Equals, 1)
}
