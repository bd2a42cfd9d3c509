package peer

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// TestContacts tells who leads from what is heard and from who stays silent.
func TestContacts(t *testing.T) {
	c := qt.New(t)
	contacts := NewContacts(NewDialer(&Traffic{}))
	defer contacts.Close()
	contacts.Learn("a")
	contacts.Learn("")
	c.Check(contacts.Leader(), qt.Equals, "a")
	contacts.Forget("b")
	c.Check(contacts.Leader(), qt.Equals, "a")
	contacts.Forget("a")
	c.Check(contacts.Leader(), qt.Equals, "")
	c.Check(contacts.HasFailed("a"), qt.IsTrue)
	contacts.Learn("a")
	c.Check(contacts.Leader(), qt.Equals, "")
	contacts.SetLeader("a")
	c.Check(contacts.Leader(), qt.Equals, "a")

	contacts.LearnMembers(raft.Membership{Members: []raft.Member{{ID: 1}}})
	contacts.LearnMembers(raft.Membership{})
	c.Check(contacts.Members().Members, qt.HasLen, 1)
	c.Check(contacts.Client("a"), qt.Equals, contacts.Client("a"))
}

// TestSearchIsShared has a second caller come while the first's search runs.
func TestSearchIsShared(t *testing.T) {
	c := qt.New(t)
	contacts := NewContacts(NewDialer(&Traffic{}))
	begun, goOn := make(chan struct{}), make(chan struct{})
	searches := 0
	search := func() {
		searches++
		close(begun)
		<-goOn
	}
	var first sync.WaitGroup
	first.Go(func() { contacts.Find(context.Background(), search) })
	<-begun
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	contacts.Find(ended, search)
	close(goOn)
	first.Wait()
	c.Check(searches, qt.Equals, 1)
}
