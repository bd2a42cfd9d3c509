package note

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	maxChanges     = 1000
	maxQueueLength = 1_000_000
	maxShare       = 1e6
	digestBytes    = 32
	maxStartWithin = 30 * 24 * time.Hour
	// maxResourceAmount bounds each resource of a team limit, in milli-CPU, MiB or
	// accelerators.
	maxResourceAmount = 1 << 40
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// checker applies the changes of a note to next, one by one, and collects
// every validation fault. path locates the current change in the note.
type checker struct {
	next   *State
	path   string
	faults []Fault
}

func (c *checker) addFault(field, message string) {
	path := field
	if c.path != "" {
		path = c.path + "." + field
	}
	c.faults = append(c.faults, Fault{
		Path:    path,
		Message: message,
	})
}

func (c *checker) apply(change Change) {
	if change.Op != OpAdd && change.Op != OpChange && change.Op != OpWithdraw {
		c.addFault("op", fmt.Sprintf("is %q, not add, change or withdraw", change.Op))
		return
	}
	if c.countItems(change) != 1 {
		c.addFault("change", "must name exactly one of team, service, key, share, limit")
		return
	}
	switch {
	case change.Team != nil:
		c.applyTeam(change.Op, *change.Team)
	case change.Service != nil:
		c.applyService(change.Op, *change.Service)
	case change.Key != nil:
		c.applyKey(change.Op, *change.Key)
	case change.Share != nil:
		c.applyShare(change.Op, *change.Share)
	case change.Limit != nil:
		c.applyLimit(change.Op, *change.Limit)
	}
}

func (c *checker) countItems(change Change) int {
	count := 0
	for _, set := range []bool{
		change.Team != nil, change.Service != nil, change.Key != nil,
		change.Share != nil, change.Limit != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

func (c *checker) applyTeam(op Op, team Team) {
	c.checkName("team.name", team.Name)
	_, exists := c.next.Teams[team.Name]
	if !c.checkExists("team.name", op, team.Name, exists) {
		return
	}
	if op == OpWithdraw {
		delete(c.next.Teams, team.Name)
		return
	}
	c.checkWeight("team.share", team.Share)
	c.checkResources("team.limit", team.Limit)
	c.next.Teams[team.Name] = team
}

func (c *checker) applyService(op Op, service Service) {
	c.checkName("service.name", service.Name)
	_, exists := c.next.Services[service.Name]
	if !c.checkExists("service.name", op, service.Name, exists) {
		return
	}
	if op == OpWithdraw {
		delete(c.next.Services, service.Name)
		return
	}
	switch service.Kind {
	case KindService, KindBatch, KindGang:
	default:
		c.addFault("service.kind", fmt.Sprintf("is %q, not service, batch or gang", service.Kind))
	}
	if service.MaxQueued < 0 || service.MaxQueued > maxQueueLength {
		c.addFault("service.max-queued", fmt.Sprintf("is not between 0 and %d", maxQueueLength))
	}
	if service.StartWithin < 0 || time.Duration(service.StartWithin) > maxStartWithin {
		c.addFault("service.start-within", "is not between 0s and 720h")
	}
	if service.Urgent && service.Preemptible {
		c.addFault("service.urgent", "can't stand beside preemptible")
	}
	c.next.Services[service.Name] = service
}

func (c *checker) applyKey(op Op, key Key) {
	c.checkName("key.id", key.ID)
	_, exists := c.next.Keys[key.ID]
	if !c.checkExists("key.id", op, key.ID, exists) {
		return
	}
	if op == OpWithdraw {
		delete(c.next.Keys, key.ID)
		return
	}
	if key.StopRunning {
		c.addFault("key.stop-running", "goes with withdraw only")
	}
	digest, err := hex.DecodeString(key.Digest)
	if err != nil || len(digest) != digestBytes {
		c.addFault("key.digest", "is not a SHA-256 in hex")
	}
	c.next.Keys[key.ID] = key
}

func (c *checker) applyShare(op Op, share Share) {
	team, ok := c.next.Teams[share.Team]
	if !ok {
		c.addFault("share.team", fmt.Sprintf("names no team %q", share.Team))
		return
	}
	c.checkWeight("share.weight", share.Weight)
	team.Share = share.Weight
	if op == OpWithdraw {
		team.Share = 0
	}
	c.next.Teams[share.Team] = team
}

func (c *checker) applyLimit(op Op, limit Limit) {
	team, ok := c.next.Teams[limit.Team]
	if !ok {
		c.addFault("limit.team", fmt.Sprintf("names no team %q", limit.Team))
		return
	}
	c.checkResources("limit.room", limit.Room)
	team.Limit = limit.Room
	if op == OpWithdraw {
		team.Limit = quota.Resources{}
	}
	c.next.Teams[limit.Team] = team
}

// checkReferences checks that the team of every remaining service and key
// exists. It runs after all changes, so that one note may withdraw a team
// together with its services and keys, in any order.
func (c *checker) checkReferences() {
	for _, name := range c.next.ServiceNames() {
		if team := c.next.Services[name].Team; !c.hasTeam(team) {
			c.addFault("services."+name, fmt.Sprintf("names no team %q", team))
		}
	}
	for _, id := range c.next.KeyIDs() {
		if team := c.next.Keys[id].Team; !c.hasTeam(team) {
			c.addFault("keys."+id, fmt.Sprintf("names no team %q", team))
		}
	}
}

func (c *checker) hasTeam(name string) bool {
	_, ok := c.next.Teams[name]
	return ok
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(field, fmt.Sprintf("%q is not a kebab-case name of 1 to 64 letters", name))
	}
}

// checkExists reports whether the named item is absent for an add, or present
// for a change or a withdrawal. If not, it adds a fault.
func (c *checker) checkExists(field string, op Op, name string, exists bool) bool {
	if op == OpAdd && exists {
		c.addFault(field, fmt.Sprintf("%q is there already", name))
		return false
	}
	if op != OpAdd && !exists {
		c.addFault(field, fmt.Sprintf("%q is not there", name))
		return false
	}
	return true
}

func (c *checker) checkWeight(field string, weight float64) {
	if math.IsNaN(weight) || weight < 0 || weight > maxShare {
		c.addFault(field, "is not between 0 and 1000000")
	}
}

func (c *checker) checkResources(field string, resources quota.Resources) {
	largest := max(int64(resources.CPU), int64(resources.Memory), resources.Accelerators)
	if !resources.IsValid() || largest > maxResourceAmount {
		c.addFault(field, "has a negative or absurd amount")
	}
}
