package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// retireAll removes all queues of the ledger by a configuration.
func retireAll(l *Ledger, version int64) {
	c := testConfig(version, 0)
	c.Queues = nil
	c, _ = l.WithRetiredQueues(c)
	l.Apply(Command{Config: c})
}

// A retired queue must accept nothing, whatever the host and path of a call, and keep
// what its jobs need. It is forgotten with the last of them.
func TestRetiredQueueIsKeptForItsJobs(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	queue := l.Config().Queues[0]
	submitJob(l, "a", singleTaskStep())
	for version := int64(2); version < 4; version++ {
		retireAll(l, version)
		queues := l.Config().Queues
		c.Assert(queues, qt.HasLen, 1)
		c.Check(queues[0].IsRetired(), qt.IsTrue)
		c.Check(queues[0].Attempts, qt.Equals, queue.Attempts)
		c.Check(*queues[0].Former, qt.Equals, QueueAddress{
			Host:   queue.Host,
			Prefix: queue.Prefix,
		})
		for _, host := range []string{"", queue.Host} {
			for _, path := range []string{"", "*", "/", retiredPrefix, queue.Prefix + "x"} {
				_, refusal := l.PendingOf(Address{
					Host: host,
					Path: path,
					Key:  "k",
				})
				c.Check(refusal, qt.Equals, RefusedNoQueue, qt.Commentf("host %q, path %q", host, path))
			}
		}
	}
	back, retired := l.WithRetiredQueues(testConfig(4, 0))
	c.Check(retired, qt.Equals, 0)
	c.Check(back.Queues, qt.HasLen, 1)
	l.Apply(Command{Cancel: &Cancel{ID: "a"}})
	retireAll(l, 5)
	c.Check(l.Config().Queues, qt.HasLen, 0)
}

// A replica of the last release knows a configuration with retired queues by its old
// fields. It must give a job of such a queue as many attempts, and match no call with it.
func TestRetiredQueueInLastRelease(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	queue := l.Config().Queues[0]
	submitJob(l, "a", singleTaskStep())
	retireAll(l, 2)
	old := *l.Config()
	old.Queues = append([]Queue(nil), old.Queues...)
	old.Queues[0].Former = nil
	index := newConfigIndex(&old)
	c.Check(index.queues[queue.Name].Attempts, qt.Equals, queue.Attempts)
	// The last release put all queues into the hosts.
	index.hosts = map[string][]*Queue{"": {&old.Queues[0]}}
	for _, path := range []string{"", "*", "/", "/" + retiredPrefix, queue.Prefix + "x"} {
		c.Check(index.matchQueue("", path) == nil, qt.IsTrue, qt.Commentf("path %q", path))
	}
}

// A configuration must not be refused because the queues that it removes do not fit into
// the log beside it.
func TestRetiredQueuesThatDoNotFitAreLeftOut(t *testing.T) {
	c, l := qt.New(t), newTestLedger()
	submitJob(l, "a", singleTaskStep())
	next := testConfig(2, 0)
	next.Queues = nil
	next.Source = make([]byte, 8<<20-200)
	c.Assert(next.checkEncoding(), qt.IsNil)
	with, retired := l.WithRetiredQueues(next)
	c.Check(retired, qt.Equals, 0)
	c.Check(with, qt.Equals, next)
}
