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
func TestContactsLeader(t *testing.T) {
	c := qt.New(t)
	contacts := NewTable(NewDialer(&Traffic{}))
	defer contacts.Close()
	contacts.SuggestLeader("a")
	contacts.SuggestLeader("")
	c.Check(contacts.Leader(), qt.Equals, "a")
	contacts.MarkFailed("b")
	c.Check(contacts.Leader(), qt.Equals, "a")
	contacts.MarkFailed("a")
	c.Check(contacts.Leader(), qt.Equals, "")
	c.Check(contacts.RecentlyFailed("a"), qt.IsTrue)
	contacts.SuggestLeader("a")
	c.Check(contacts.Leader(), qt.Equals, "")
	contacts.SetLeader("a")
	c.Check(contacts.Leader(), qt.Equals, "a")

	contacts.SetMembership(raft.Membership{Members: []raft.Member{{ID: 1}}})
	contacts.SetMembership(raft.Membership{})
	c.Check(contacts.Membership().Members, qt.HasLen, 1)
	c.Check(contacts.Client("a"), qt.Equals, contacts.Client("a"))
}

// A call of FindLeader that arrives while a search is in progress starts no second
// one.
func TestConcurrentFindsShareOneSearch(t *testing.T) {
	c := qt.New(t)
	contacts := NewTable(NewDialer(&Traffic{}))
	started, release := make(chan struct{}), make(chan struct{})
	searches := 0
	search := func() {
		searches++
		close(started)
		<-release
	}
	var first sync.WaitGroup
	first.Go(func() { contacts.FindLeader(context.Background(), search) })
	<-started
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	contacts.FindLeader(cancelled, search)
	close(release)
	first.Wait()
	c.Check(searches, qt.Equals, 1)
}
