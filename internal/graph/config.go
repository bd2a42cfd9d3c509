package graph

import (
	"sort"
	"strings"
	"time"

	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Config is a complete configuration of queues, services and client accounts.
// The highest version is in force.
type Config struct {
	Version int64
	// Queues has the retired queues as well, once the configuration is in force.
	Queues         []Queue
	Services       []Service
	ClientAccounts []ClientAccount `cbor:"Tenants"`
	// Source is the configuration as the operator sent it.
	Source []byte
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
}

// Queue accepts jobs that are submitted to its host under its path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Timeout is the maximum time that a client waits for a response.
	Timeout Millis
	// Latency and Stretch bound how long a job should take: Stretch times its
	// estimated work, plus Latency.
	Latency  Millis
	Stretch  float64
	Priority int
	// Attempts is the number of failed runs of a task after which its job
	// fails; values below one count as one.
	Attempts int
	// Advice is set if starting a run requires a ticket from the advisor.
	Advice *AdviceTiming
	// Open queues accept requests without a known key.
	Open bool
	// Former is the address of a retired queue before a configuration removed it.
	Former *QueueAddress `cbor:",omitempty" json:",omitempty"`
}

// AdviceTiming describes the response time of the advisor and the validity of
// its tickets.
type AdviceTiming struct {
	// Base is the expected time of a call without targets, and Each the time
	// that every target adds.
	Base time.Duration
	Each time.Duration
	// Valid is how long tickets are valid if the advisor's answer does not say.
	Valid time.Duration
}

// Service is a pool of targets.
type Service struct {
	Name    string
	Standby bool
}

// ClientAccount configures a client account: its API keys, weight and limit.
type ClientAccount struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds the resources of its active runs. A zero component is
	// unlimited.
	Limit quota.Resources
}

// MaxFaults is how many faults of a configuration are reported. A large one has so many
// that their text would take more memory than the configuration.
const MaxFaults = 1000

// Check validates the configuration and returns the faults found, at most MaxFaults.
func (c *Config) Check() []note.Fault {
	var faults []note.Fault
	add := func(subject, message string) {
		faults = appendFault(faults, subject, message)
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			add("service "+s.Name, "appears twice")
		}
		services[s.Name] = true
	}
	queueByRoute := map[string]string{}
	for _, q := range c.Queues {
		subject := "queue " + q.Name
		if !services[q.Service] {
			add(subject, "unknown service "+q.Service)
		}
		route := strings.ToLower(q.Host) + q.Prefix
		if other, ok := queueByRoute[route]; ok {
			add(subject, "has the host and prefix of "+other)
		}
		queueByRoute[route] = q.Name
		if q.Timeout <= 0 {
			add(subject, "timeout is not positive")
		}
		if q.Prefix == "" || q.Prefix[0] != '/' {
			add(subject, "prefix does not start with a slash")
		}
	}
	clientAccountByKey := map[string]string{}
	for _, account := range c.ClientAccounts {
		for _, k := range account.Keys {
			if other, ok := clientAccountByKey[k]; ok && other != account.Name {
				add("tenant "+account.Name, "shares a key with "+other)
			}
			clientAccountByKey[k] = account.Name
		}
		if !account.Limit.IsValid() {
			add("tenant "+account.Name, "limit is negative")
		}
	}
	if len(faults) == 0 {
		if err := c.checkEncoding(); err != nil {
			add("body", err.Error())
		}
	}
	return faults
}

// appendFault appends a fault, unless there are MaxFaults.
func appendFault(faults []note.Fault, subject, message string) []note.Fault {
	if len(faults) == MaxFaults {
		return faults
	}
	return append(faults, note.Fault{
		Path:    subject,
		Message: message,
	})
}

// checkEncoding returns an error unless the log can carry the configuration and
// every replica can decode it.
func (c *Config) checkEncoding() error {
	data, err := Command{Config: c}.Encode()
	if err != nil {
		return err
	}
	if len(data) > raft.MaxCommandBytes {
		return raft.ErrTooLarge
	}
	_, err = DecodeCommand(data)
	return err
}

// configIndex provides lookup of the queues and client accounts of a
// configuration.
type configIndex struct {
	config *Config
	// hosts maps a lower-case host name to its queues, longest prefix first.
	hosts          map[string][]*Queue
	queues         map[string]*Queue
	services       map[string]bool
	clientAccounts map[string]*ClientAccount
	keys           map[string]*ClientAccount
}

func newConfigIndex(c *Config) *configIndex {
	x := &configIndex{
		config:         c,
		hosts:          map[string][]*Queue{},
		queues:         map[string]*Queue{},
		services:       map[string]bool{},
		clientAccounts: map[string]*ClientAccount{},
		keys:           map[string]*ClientAccount{},
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.queues[q.Name] = q
		if q.IsRetired() {
			continue
		}
		host := strings.ToLower(q.Host)
		x.hosts[host] = append(x.hosts[host], q)
	}
	for _, service := range c.Services {
		x.services[service.Name] = true
	}
	for _, queues := range x.hosts {
		sort.SliceStable(queues, func(i, j int) bool {
			return len(queues[i].Prefix) > len(queues[j].Prefix)
		})
	}
	for i := range c.ClientAccounts {
		account := &c.ClientAccounts[i]
		x.clientAccounts[account.Name] = account
		for _, k := range account.Keys {
			x.keys[k] = account
		}
	}
	return x
}

// ownerOf returns the client account that owns the key, or nil.
func (x *configIndex) ownerOf(key string) *ClientAccount {
	if key == "" {
		return nil
	}
	return x.keys[key]
}

// matchQueue returns the queue of the host with the longest prefix of the path,
// or nil.
func (x *configIndex) matchQueue(host, path string) *Queue {
	for _, q := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// WithinLimit reports whether the sum does not exceed the limit. Zero
// components of the limit are unlimited.
func WithinLimit(sum, limit quota.Resources) bool {
	return (limit.CPU == 0 || sum.CPU <= limit.CPU) &&
		(limit.Memory == 0 || sum.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}
