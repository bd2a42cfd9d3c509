package graph

import (
	"sort"
	"strings"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Config is a whole set of queues, services and tenants. The highest version
// is in force.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Tenants  []Tenant
	// Source is the set as the operator sent it.
	Source []byte
	// MaxBody bounds the bodies of calls, in bytes.
	MaxBody int64
}

// Queue takes jobs whose host and path it has.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Timeout bounds the wait for an answer.
	Timeout Millis
	// Latency is how much longer than its work a job should take at most.
	Latency Millis
	// Stretch times its work is how long a job should take at most.
	Stretch  float64
	Priority int
	Attempts int
	// Advice tells that starts need a ticket of the advisor.
	Advice *Advice
	Open   bool
}

// Advice is how long the advisor takes, and how long its tickets last.
type Advice struct {
	Base  time.Duration
	Each  time.Duration
	Valid time.Duration
}

// Service is a pool of targets.
type Service struct {
	Name    string
	Standby bool
}

// Tenant is a client account.
type Tenant struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit is what it may have running; a zero component is no limit.
	Limit quota.Room
}

// Check returns everything wrong with the set.
func (c *Config) Check() []note.Fault {
	var faults []note.Fault
	add := func(place, message string) {
		faults = append(faults, note.Fault{
			Place:   place,
			Message: message,
		})
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			add("service "+s.Name, "appears twice")
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, q := range c.Queues {
		place := "queue " + q.Name
		if !services[q.Service] {
			add(place, "unknown service "+q.Service)
		}
		at := strings.ToLower(q.Host) + q.Prefix
		if other, ok := places[at]; ok {
			add(place, "has the host and prefix of "+other)
		}
		places[at] = q.Name
		if q.Timeout <= 0 {
			add(place, "timeout is not positive")
		}
		if q.Prefix == "" || q.Prefix[0] != '/' {
			add(place, "prefix does not start with a slash")
		}
	}
	owners := map[string]string{}
	for _, t := range c.Tenants {
		for _, k := range t.Keys {
			if other, ok := owners[k]; ok && other != t.Name {
				add("tenant "+t.Name, "shares a key with "+other)
			}
			owners[k] = t.Name
		}
		if !t.Limit.Valid() {
			add("tenant "+t.Name, "limit is negative")
		}
	}
	return faults
}

// lookup finds queues and tenants of a configuration.
type lookup struct {
	config  *Config
	hosts   map[string][]*Queue
	queues  map[string]*Queue
	tenants map[string]*Tenant
	keys    map[string]*Tenant
}

func newLookup(c *Config) *lookup {
	l := &lookup{
		config:  c,
		hosts:   map[string][]*Queue{},
		queues:  map[string]*Queue{},
		tenants: map[string]*Tenant{},
		keys:    map[string]*Tenant{},
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		l.hosts[host] = append(l.hosts[host], q)
		l.queues[q.Name] = q
	}
	for _, queues := range l.hosts {
		sort.SliceStable(queues, func(i, j int) bool {
			return len(queues[i].Prefix) > len(queues[j].Prefix)
		})
	}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		l.tenants[t.Name] = t
		for _, k := range t.Keys {
			l.keys[k] = t
		}
	}
	return l
}

// queue returns the queue with the longest prefix of the path.
func (l *lookup) queue(host, path string) *Queue {
	for _, q := range l.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Within tells whether the sum keeps to the limit, of which zero components
// are none.
func Within(sum, limit quota.Room) bool {
	return (limit.CPU == 0 || sum.CPU <= limit.CPU) &&
		(limit.Memory == 0 || sum.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}
