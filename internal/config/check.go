package config

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	Line    int
	Key     string
	Message string
}

// FaultsError lists everything wrong with a settings file.
type FaultsError struct {
	File   string
	Faults []Fault
	// onlyUnknown tells that the rest of the file could be read.
	onlyUnknown bool
}

// Error lists the faults, one a line, each with file, line and key.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", e.File, f.Line, f.Key, f.Message))
	}
	return strings.Join(lines, "\n")
}

func (e *FaultsError) add(line int, key, message string) {
	e.Faults = append(e.Faults, Fault{
		Line:    line,
		Key:     key,
		Message: message,
	})
}

// addDecode lists what the TOML library found.
func (e *FaultsError) addDecode(err error) {
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		e.onlyUnknown = true
		for _, missing := range unknown.Errors {
			row, _ := missing.Position()
			e.add(row, strings.Join(missing.Key(), "."), "is not a setting")
		}
	case errors.As(err, &decode):
		row, _ := decode.Position()
		e.add(row, strings.Join(decode.Key(), "."), decode.Error())
	default:
		e.add(0, "file", err.Error())
	}
}

// lines finds the line on which a key is set.
type lines map[string]int

var (
	tablePattern = regexp.MustCompile(`^\s*\[([a-z-]+)\]`)
	keyPattern   = regexp.MustCompile(`^\s*([a-z-]+)\s*=`)
)

func newLines(data []byte) lines {
	found := lines{}
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		if match := tablePattern.FindStringSubmatch(line); match != nil {
			table = match[1] + "."
			found[match[1]] = i + 1
		}
		if match := keyPattern.FindStringSubmatch(line); match != nil {
			found[table+match[1]] = i + 1
		}
	}
	return found
}

// of returns the key's line, that of its table, or 1.
func (l lines) of(key string) int {
	if line, ok := l[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return max(l[table], 1)
}

// checker checks settings one by one and lists every fault.
type checker struct {
	settings Settings
	lines    lines
	faults   *FaultsError
}

func check(s Settings, l lines, faults *FaultsError) {
	c := &checker{
		settings: s,
		lines:    l,
		faults:   faults,
	}
	c.names()
	c.addresses()
	c.certificates()
	c.timing()
	c.limits()
	c.log()
}

func (c *checker) fault(key, format string, args ...any) {
	c.faults.add(c.lines.of(key), key, fmt.Sprintf(format, args...))
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

func (c *checker) names() {
	if !namePattern.MatchString(c.settings.Name) {
		c.fault("name", "%q is not a kebab-case name of 1 to 64 letters", c.settings.Name)
	}
	if !namePattern.MatchString(c.settings.Domain) {
		c.fault("failure-domain", "%q is not a kebab-case name of 1 to 64 letters", c.settings.Domain)
	}
	if v := c.settings.Voters; v < 1 || v > 9 || v%2 == 0 {
		c.fault("voters", "%d is not an odd number from 1 to 9", v)
	}
}

func (c *checker) addresses() {
	seen := map[string]string{}
	for _, item := range []struct {
		key     string
		address string
		needed  bool
	}{
		{key: "peers.listen", address: c.settings.Peers.Listen, needed: true},
		{key: "callers.listen", address: c.settings.Callers.Listen, needed: true},
		{key: "targets.listen", address: c.settings.Targets.Listen, needed: true},
		{key: "operators.listen", address: c.settings.Operators.Listen, needed: true},
	} {
		if !c.address(item.key, item.address, item.needed) {
			continue
		}
		if other, ok := seen[item.address]; ok {
			c.fault(item.key, "%s is the address of %s already", item.address, other)
		}
		seen[item.address] = item.key
	}
	c.address("peers.advertise", c.settings.Peers.Advertise, false)
	for _, address := range c.settings.Peers.Addresses {
		c.address("peers.addresses", address, true)
	}
}

func (c *checker) address(key, address string, needed bool) bool {
	if address == "" {
		if needed {
			c.fault(key, "is not set")
		}
		return false
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.fault(key, "%q is not an address with a port", address)
		return false
	}
	if net.ParseIP(host) == nil {
		c.fault(key, "%q is not an IP number", host)
		return false
	}
	return true
}

func (c *checker) certificates() {
	p := c.settings.Peers
	set := (p.Certificate != "") == (p.Key != "") && (p.Key != "") == (p.Authority != "")
	if !set {
		c.fault("peers.certificate", "certificate, key and authority go together")
	}
	for key, e := range map[string]Endpoint{
		"callers": c.settings.Callers, "targets": c.settings.Targets, "operators": c.settings.Operators,
	} {
		if (e.Certificate != "") != (e.Key != "") {
			c.fault(key+".certificate", "certificate and key go together")
		}
		c.file(key+".certificate", e.Certificate)
		c.file(key+".key", e.Key)
		c.file(key+".token-file", e.TokenFile)
	}
	c.file("peers.certificate", p.Certificate)
	c.file("peers.key", p.Key)
	c.file("peers.authority", p.Authority)
}

func (c *checker) file(key, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.fault(key, "%s", err)
	}
}

func (c *checker) timing() {
	t := c.settings.Timing
	c.between("timing.election", t.Election, 50*time.Millisecond, time.Minute)
	c.between("timing.heartbeat", t.Heartbeat, 5*time.Millisecond, time.Minute)
	c.between("timing.lease-ttl", t.LeaseTTL, time.Second, 10*time.Minute)
	c.between("timing.lease-margin", t.LeaseMargin, 10*time.Millisecond, 10*time.Minute)
	c.between("timing.configuration-fresh", t.Fresh, 100*time.Millisecond, time.Minute)
	c.between("timing.replace-voter-after", t.Replace, time.Second, 24*time.Hour)
	c.between("timing.drain-after", t.DrainAfter, 0, 24*time.Hour)
	c.between("timing.hold-gang", t.HoldGang, 100*time.Millisecond, time.Hour)
	c.between("timing.never-fits-grace", t.Grace, 0, time.Hour)
	c.between("timing.balancer-wait", t.BalancerWait, 0, time.Minute)
	c.between("timing.shutdown-wait", t.ShutdownWait, time.Second, 10*time.Minute)
	if t.Heartbeat*3 > t.Election {
		c.fault("timing.heartbeat", "is more than a third of election")
	}
	if t.LeaseMargin*20 < t.LeaseTTL {
		c.fault("timing.lease-margin", "is less than a twentieth of lease-ttl")
	}
	if time.Duration(t.Fresh) < 2*time.Duration(t.Election) {
		c.fault("timing.configuration-fresh", "is less than twice election")
	}
}

func (c *checker) between(key string, value Duration, least, most time.Duration) {
	d := time.Duration(value)
	if d < least || d > most {
		c.fault(key, "%s is not between %s and %s; write a unit, such as \"500ms\"", d, least, most)
	}
}

func (c *checker) limits() {
	l := c.settings.Limits
	c.count("limits.connections", int64(l.Connections), 1, 1_000_000)
	c.count("limits.requests", int64(l.Requests), 1, 1_000_000)
	c.count("limits.header-bytes", int64(l.HeaderBytes), 1024, 1<<20)
	c.count("limits.body-bytes", l.BodyBytes, 1024, 64<<20)
	c.between("limits.header-time", l.HeaderTime, 100*time.Millisecond, time.Minute)
	c.between("limits.body-time", l.BodyTime, 100*time.Millisecond, 10*time.Minute)
	c.between("limits.idle-time", l.IdleTime, time.Second, time.Hour)
}

func (c *checker) count(key string, value, least, most int64) {
	if value < least || value > most {
		c.fault(key, "%d is not between %d and %d", value, least, most)
	}
}

func (c *checker) log() {
	if _, err := logrus.ParseLevel(c.settings.Log.Level); err != nil {
		c.fault("log.level", "%q is not a level", c.settings.Log.Level)
	}
	if f := c.settings.Log.Format; f != "text" && f != "json" {
		c.fault("log.format", "%q is not text or json", f)
	}
}
