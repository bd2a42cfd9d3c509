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

// minIntakeBodies is how many of the largest bodies limits.intake-bytes must hold. One
// that is being decoded takes twice its size, and one key may use half of the budget.
const minIntakeBodies = 4

// FieldError describes an invalid setting.
type FieldError struct {
	Line    int
	Key     string
	Message string
}

// ValidationError lists all errors in a settings file.
type ValidationError struct {
	File   string
	Errors []FieldError
	// onlyUnknownKeys is set when the file decodes except for unknown keys.
	onlyUnknownKeys bool
}

// Error lists the errors, one per line, each with file, line and key.
func (e *ValidationError) Error() string {
	messages := make([]string, 0, len(e.Errors))
	for _, f := range e.Errors {
		messages = append(messages, fmt.Sprintf("%s:%d: %s: %s", e.File, f.Line, f.Key, f.Message))
	}
	return strings.Join(messages, "\n")
}

func (e *ValidationError) add(line int, key, message string) {
	e.Errors = append(e.Errors, FieldError{
		Line:    line,
		Key:     key,
		Message: message,
	})
}

// addDecodeError adds the errors that the TOML decoder found.
func (e *ValidationError) addDecodeError(err error) {
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		e.onlyUnknownKeys = true
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

// lineIndex maps a key to the line on which it is set.
type lineIndex map[string]int

var (
	tablePattern = regexp.MustCompile(`^\s*\[([a-z-]+)\]`)
	keyPattern   = regexp.MustCompile(`^\s*([a-z-]+)\s*=`)
)

func newLineIndex(data []byte) lineIndex {
	index := lineIndex{}
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		if match := tablePattern.FindStringSubmatch(line); match != nil {
			table = match[1] + "."
			index[match[1]] = i + 1
		}
		if match := keyPattern.FindStringSubmatch(line); match != nil {
			index[table+match[1]] = i + 1
		}
	}
	return index
}

// lookup returns the line of the key, else that of its table, else 1.
func (l lineIndex) lookup(key string) int {
	if line, ok := l[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return max(l[table], 1)
}

// checker validates settings and collects all errors.
type checker struct {
	settings Settings
	lines    lineIndex
	errs     *ValidationError
}

func check(s Settings, l lineIndex, errs *ValidationError) {
	c := &checker{
		settings: s,
		lines:    l,
		errs:     errs,
	}
	c.checkNames()
	c.checkAddresses()
	c.checkCertificates()
	c.checkTiming()
	c.checkLimits()
	c.checkLog()
}

func (c *checker) addError(key, format string, args ...any) {
	c.errs.add(c.lines.lookup(key), key, fmt.Sprintf(format, args...))
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

func (c *checker) checkNames() {
	if !namePattern.MatchString(c.settings.Name) {
		c.addError("name", "%q is not a kebab-case name of 1 to 64 characters", c.settings.Name)
	}
	if !namePattern.MatchString(c.settings.Domain) {
		c.addError("failure-domain", "%q is not a kebab-case name of 1 to 64 characters", c.settings.Domain)
	}
	if v := c.settings.Voters; v < 1 || v > 9 || v%2 == 0 {
		c.addError("voters", "%d is not an odd number from 1 to 9", v)
	}
}

func (c *checker) checkAddresses() {
	seen := map[string]string{}
	for _, item := range []struct {
		key      string
		address  string
		required bool
	}{
		{key: "peers.listen", address: c.settings.Peers.Listen, required: true},
		{key: "callers.listen", address: c.settings.Callers.Listen, required: true},
		{key: "targets.listen", address: c.settings.Targets.Listen, required: true},
		{key: "operators.listen", address: c.settings.Operators.Listen, required: true},
	} {
		if !c.checkAddress(item.key, item.address, item.required) {
			continue
		}
		if other, ok := seen[item.address]; ok {
			c.addError(item.key, "%s is already the address of %s", item.address, other)
		}
		seen[item.address] = item.key
	}
	c.checkAddress("peers.advertise", c.settings.Peers.Advertise, false)
	for _, address := range c.settings.Peers.Addresses {
		c.checkAddress("peers.addresses", address, true)
	}
}

// checkAddress reports whether the address is set and valid. It adds an error if
// the address is invalid, or required and not set.
func (c *checker) checkAddress(key, address string, required bool) bool {
	if address == "" {
		if required {
			c.addError(key, "is not set")
		}
		return false
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.addError(key, "%q is not an address with a port", address)
		return false
	}
	if net.ParseIP(host) == nil {
		c.addError(key, "%q is not an IP address", host)
		return false
	}
	return true
}

func (c *checker) checkCertificates() {
	p := c.settings.Peers
	consistent := (p.Certificate != "") == (p.Key != "") && (p.Key != "") == (p.Authority != "")
	if !consistent {
		c.addError("peers.certificate", "certificate, key and authority must be set together")
	}
	for key, e := range map[string]Endpoint{
		"callers": c.settings.Callers, "targets": c.settings.Targets, "operators": c.settings.Operators,
	} {
		if (e.Certificate != "") != (e.Key != "") {
			c.addError(key+".certificate", "certificate and key must be set together")
		}
		c.checkFile(key+".certificate", e.Certificate)
		c.checkFile(key+".key", e.Key)
		c.checkFile(key+".token-file", e.TokenFile)
	}
	c.checkFile("peers.certificate", p.Certificate)
	c.checkFile("peers.key", p.Key)
	c.checkFile("peers.authority", p.Authority)
}

func (c *checker) checkFile(key, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.addError(key, "%s", err)
	}
}

func (c *checker) checkTiming() {
	t := c.settings.Timing
	c.checkDuration("timing.election", t.Election, 50*time.Millisecond, time.Minute)
	c.checkDuration("timing.heartbeat", t.Heartbeat, 5*time.Millisecond, time.Minute)
	c.checkDuration("timing.lease-ttl", t.LeaseTTL, time.Second, 10*time.Minute)
	c.checkDuration("timing.lease-margin", t.LeaseMargin, 10*time.Millisecond, 10*time.Minute)
	c.checkDuration("timing.configuration-fresh", t.ConfigurationFresh, 100*time.Millisecond, time.Minute)
	c.checkDuration("timing.replace-voter-after", t.ReplaceVoterAfter, time.Second, 24*time.Hour)
	c.checkDuration("timing.drain-after", t.DrainAfter, 0, 24*time.Hour)
	c.checkDuration("timing.hold-gang", t.HoldGang, 100*time.Millisecond, time.Hour)
	c.checkDuration("timing.never-fits-grace", t.NeverFitsGrace, 0, time.Hour)
	c.checkDuration("timing.balancer-wait", t.BalancerWait, 0, time.Minute)
	c.checkDuration("timing.shutdown-wait", t.ShutdownWait, time.Second, 10*time.Minute)
	if t.Heartbeat*3 > t.Election {
		c.addError("timing.heartbeat", "is more than a third of election")
	}
	if t.LeaseMargin*20 < t.LeaseTTL {
		c.addError("timing.lease-margin", "is less than a twentieth of lease-ttl")
	}
	if time.Duration(t.ConfigurationFresh) < 2*time.Duration(t.Election) {
		c.addError("timing.configuration-fresh", "is less than twice election")
	}
}

func (c *checker) checkDuration(key string, value Duration, minimum, maximum time.Duration) {
	d := time.Duration(value)
	if d < minimum || d > maximum {
		c.addError(key, "%s is not between %s and %s; write a unit, such as \"500ms\"", d, minimum, maximum)
	}
}

func (c *checker) checkLimits() {
	l := c.settings.Limits
	c.checkRange("limits.connections", int64(l.Connections), 1, 1_000_000)
	c.checkRange("limits.requests", int64(l.Requests), 1, 1_000_000)
	c.checkRange("limits.header-bytes", int64(l.HeaderBytes), 1024, 1<<20)
	c.checkRange("limits.body-bytes", l.BodyBytes, 1024, 64<<20)
	c.checkDuration("limits.header-time", l.HeaderTime, 100*time.Millisecond, time.Minute)
	c.checkDuration("limits.body-time", l.BodyTime, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("limits.idle-time", l.IdleTime, time.Second, time.Hour)
	c.checkDuration("limits.stall-time", l.StallTime, 100*time.Millisecond, time.Minute)
	c.checkDuration("limits.write-time", l.WriteTime, 100*time.Millisecond, 10*time.Minute)
	c.checkRange("limits.intake-bytes", l.IntakeBytes, 0, 1<<40)
	if l.IntakeBytes > 0 && l.IntakeBytes < minIntakeBodies*l.BodyBytes {
		c.addError("limits.intake-bytes", "is less than %d times body-bytes", minIntakeBodies)
	}
	c.checkRange("limits.address-percent", l.AddressPercent, 0, 100)
	c.checkRange("limits.key-percent", l.KeyPercent, 0, 100)
}

func (c *checker) checkRange(key string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		c.addError(key, "%d is not between %d and %d", value, minimum, maximum)
	}
}

func (c *checker) checkLog() {
	if _, err := logrus.ParseLevel(c.settings.Log.Level); err != nil {
		c.addError("log.level", "%q is not a log level", c.settings.Log.Level)
	}
	if f := c.settings.Log.Format; f != "text" && f != "json" {
		c.addError("log.format", "%q is not text or json", f)
	}
}
