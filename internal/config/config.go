// Package config reads the settings of an instance from a TOML file and validates
// all of them before anything is started.
package config

import (
	"bytes"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/node"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/lease"
)

// Duration is a duration that is written with a unit, such as "500ms".
type Duration = note.Duration

// Settings are the settings of an instance.
type Settings struct {
	Name       string   `toml:"name"`
	Domain     string   `toml:"failure-domain"`
	DataFolder string   `toml:"data-folder"`
	Voters     int      `toml:"voters"`
	Peers      Peers    `toml:"peers"`
	Callers    Endpoint `toml:"callers"`
	Targets    Endpoint `toml:"targets"`
	Operators  Endpoint `toml:"operators"`
	Timing     Timing   `toml:"timing"`
	Limits     Limits   `toml:"limits"`
	Log        Logging  `toml:"log"`
}

// Peers configures the connections between instances.
type Peers struct {
	Listen      string   `toml:"listen"`
	Advertise   string   `toml:"advertise"`
	Addresses   []string `toml:"addresses"`
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	Authority   string   `toml:"authority"`
}

// Endpoint configures one HTTP listener.
type Endpoint struct {
	Listen      string `toml:"listen"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	TokenFile   string `toml:"token-file"`
}

// Timing configures the timeouts and intervals of an instance. All instances of a
// cell must have the same lease-ttl, lease-margin, election and heartbeat.
type Timing struct {
	Election           Duration `toml:"election"`
	Heartbeat          Duration `toml:"heartbeat"`
	LeaseTTL           Duration `toml:"lease-ttl"`
	LeaseMargin        Duration `toml:"lease-margin"`
	ConfigurationFresh Duration `toml:"configuration-fresh"`
	ReplaceVoterAfter  Duration `toml:"replace-voter-after"`
	DrainAfter         Duration `toml:"drain-after"`
	HoldGang           Duration `toml:"hold-gang"`
	NeverFitsGrace     Duration `toml:"never-fits-grace"`
	// BalancerWait is how long a stopping instance that is not ready any more
	// still serves, so that load balancers notice.
	BalancerWait Duration `toml:"balancer-wait"`
	// ShutdownWait is the timeout of a graceful shutdown.
	ShutdownWait Duration `toml:"shutdown-wait"`
}

// Limits bounds the resources that each HTTP listener uses.
type Limits struct {
	Connections int      `toml:"connections"`
	Requests    int      `toml:"requests"`
	HeaderBytes int      `toml:"header-bytes"`
	BodyBytes   int64    `toml:"body-bytes"`
	HeaderTime  Duration `toml:"header-time"`
	BodyTime    Duration `toml:"body-time"`
	IdleTime    Duration `toml:"idle-time"`
	StallTime   Duration `toml:"stall-time"`
	WriteTime   Duration `toml:"write-time"`
	// IntakeBytes, AddressPercent and KeyPercent bound the bodies that are received
	// at the same time. Zero means the default.
	IntakeBytes    int64 `toml:"intake-bytes"`
	AddressPercent int64 `toml:"address-percent"`
	KeyPercent     int64 `toml:"key-percent"`
}

// Logging configures the log.
type Logging struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the defaults for settings that a file does not set.
func Default() Settings {
	timing := node.DefaultTiming()
	limits := entry.DefaultLimits()
	return Settings{
		Voters: 3,
		Timing: Timing{
			Election:           Duration(timing.Election),
			Heartbeat:          Duration(timing.Heartbeat),
			LeaseTTL:           Duration(timing.Lease.TTL),
			LeaseMargin:        Duration(timing.Lease.Margin),
			ConfigurationFresh: Duration(timing.MaxConfigAge),
			ReplaceVoterAfter:  Duration(timing.ReplaceVoterAfter),
			DrainAfter:         Duration(timing.DrainAfter),
			HoldGang:           Duration(timing.GangHoldTimeout),
			NeverFitsGrace:     Duration(timing.NeverFitsGrace),
			BalancerWait:       Duration(time.Second),
			ShutdownWait:       Duration(30 * time.Second),
		},
		Limits: Limits{
			Connections: limits.MaxConnections,
			Requests:    limits.MaxRequests,
			HeaderBytes: limits.MaxHeaderBytes,
			BodyBytes:   limits.MaxBodyBytes,
			HeaderTime:  Duration(limits.HeaderTimeout),
			BodyTime:    Duration(limits.BodyTimeout),
			IdleTime:    Duration(limits.IdleTimeout),
			StallTime:   Duration(limits.StallTimeout),
			WriteTime:   Duration(limits.WriteTimeout),
		},
		Log: Logging{
			Level:  "info",
			Format: "text",
		},
	}
}

// Load reads and validates a settings file. All errors in its content are returned
// as one ValidationError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse validates the content of a settings file. The path appears in errors.
func Parse(path string, data []byte) (Settings, error) {
	settings := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	errs := &ValidationError{File: path}
	errs.addDecodeError(decoder.Decode(&settings))
	if len(errs.Errors) == 0 || errs.onlyUnknownKeys {
		check(settings, newLineIndex(data), errs)
	}
	if len(errs.Errors) > 0 {
		return Settings{}, errs
	}
	return settings, nil
}

// TOML returns the settings in the format of a settings file.
func (s Settings) TOML() (string, error) {
	data, err := toml.Marshal(s)
	if err != nil {
		return string(data), errors.Wrap(err, "encode settings")
	}
	return string(data), nil
}

// NodeConfig returns the configuration of the node, without its certificates.
func (s Settings) NodeConfig() node.Config {
	return node.Config{
		Name:       s.Name,
		Domain:     s.Domain,
		Listen:     s.Peers.Listen,
		Advertise:  s.Peers.Advertise,
		Peers:      s.Peers.Addresses,
		DataFolder: s.DataFolder,
		Voters:     s.Voters,
		Limits:     ledger.DefaultLimits(),
		Timing: node.Timing{
			Election:  time.Duration(s.Timing.Election),
			Heartbeat: time.Duration(s.Timing.Heartbeat),
			Lease: lease.Config{
				TTL:    time.Duration(s.Timing.LeaseTTL),
				Margin: time.Duration(s.Timing.LeaseMargin),
			},
			MaxConfigAge:      time.Duration(s.Timing.ConfigurationFresh),
			ReplaceVoterAfter: time.Duration(s.Timing.ReplaceVoterAfter),
			DrainAfter:        time.Duration(s.Timing.DrainAfter),
			GangHoldTimeout:   time.Duration(s.Timing.HoldGang),
			NeverFitsGrace:    time.Duration(s.Timing.NeverFitsGrace),
		},
	}
}

// HTTPLimits returns the limits of the HTTP listeners.
func (s Settings) HTTPLimits() entry.Limits {
	limits := entry.DefaultLimits()
	limits.MaxConnections = s.Limits.Connections
	limits.MaxRequests = s.Limits.Requests
	limits.MaxHeaderBytes = s.Limits.HeaderBytes
	limits.MaxBodyBytes = s.Limits.BodyBytes
	limits.HeaderTimeout = time.Duration(s.Limits.HeaderTime)
	limits.BodyTimeout = time.Duration(s.Limits.BodyTime)
	limits.IdleTimeout = time.Duration(s.Limits.IdleTime)
	limits.StallTimeout = time.Duration(s.Limits.StallTime)
	limits.WriteTimeout = time.Duration(s.Limits.WriteTime)
	limits.IntakeBytes = s.Limits.IntakeBytes
	limits.AddressPercent = s.Limits.AddressPercent
	limits.KeyPercent = s.Limits.KeyPercent
	return limits
}
