package fake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/config"
	"github.com/jasmineward/jasmineward/internal/daemon"
	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/node"
)

// ErrNoLeader is returned when a cell has no leader in time.
var ErrNoLeader = errors.New("cell has no leader")

// CellConfig sets up a cell in this process.
type CellConfig struct {
	// Folder is where the instances keep their data.
	Folder string
	// Voters have a data folder, Spares one too; Entries have none.
	Voters  int
	Spares  int
	Entries int
	// Domains are given to the instances in turn.
	Domains []string
	Change  func(*config.Settings)
	Log     *logrus.Logger
	// Links delays and cuts the connections between instances.
	Links *Links
}

// Cell is a cell whose instances run in this process, with real HTTP and rpc
// on loopback.
type Cell struct {
	cfg       CellConfig
	Instances []*Instance
	http      *http.Client
}

// Instance is one instance of a Cell.
type Instance struct {
	Settings config.Settings
	Daemon   *daemon.Daemon
	cell     *Cell
}

// QuietLog returns a logger that writes nothing.
func QuietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// StartCell starts a cell and waits until it has a leader that every
// instance hears from.
func StartCell(ctx context.Context, cfg CellConfig) (*Cell, error) {
	if cfg.Log == nil {
		cfg.Log = QuietLog()
	}
	if len(cfg.Domains) == 0 {
		cfg.Domains = []string{"ba", "nadi", "sigatoka", "nausori"}
	}
	c := &Cell{
		cfg: cfg,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4096,
			MaxIdleConns:        8192,
		}},
	}
	total := cfg.Voters + cfg.Spares + cfg.Entries
	for i := range total {
		if err := c.add(i, i < cfg.Voters+cfg.Spares); err != nil {
			c.Kill()
			return nil, err
		}
	}
	if err := c.WaitReady(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cell) add(i int, disk bool) error {
	address := local.Address()
	settings := config.Default()
	settings.Name = fmt.Sprintf("instance-%d", i+1)
	settings.Domain = c.cfg.Domains[i%len(c.cfg.Domains)]
	settings.Voters = c.cfg.Voters
	settings.Peers.Listen = address
	settings.Peers.Advertise = address
	settings.Callers.Listen = "127.0.0.1:0"
	settings.Targets.Listen = "127.0.0.1:0"
	settings.Operators.Listen = "127.0.0.1:0"
	settings.Timing.BalancerWait = 0
	if disk {
		settings.DataFolder = filepath.Join(c.cfg.Folder, settings.Name)
	}
	for _, other := range c.Instances {
		settings.Peers.Addresses = append(settings.Peers.Addresses, other.Settings.Peers.Listen)
	}
	if c.cfg.Change != nil {
		c.cfg.Change(&settings)
	}
	instance := &Instance{
		Settings: settings,
		cell:     c,
	}
	c.Instances = append(c.Instances, instance)
	return instance.Start(i == 0)
}

// Start starts the instance, also after a Kill or Shutdown. The first
// instance of a cell forms it.
func (i *Instance) Start(form bool) error {
	var opts []node.Option
	if i.cell.cfg.Links != nil {
		from := i.Settings.Peers.Listen
		opts = append(opts, node.WithWrap(func(to string, conn net.Conn) net.Conn {
			return i.cell.cfg.Links.Wrap(from, to, conn)
		}))
	}
	d, err := daemon.Start(i.Settings, form, i.cell.cfg.Log, opts...)
	if err != nil {
		return err
	}
	i.Daemon = d
	if i.Settings.Callers.Listen == "127.0.0.1:0" {
		i.Settings.Callers.Listen = d.Callers()
		i.Settings.Targets.Listen = d.Targets()
		i.Settings.Operators.Listen = d.Operators()
	}
	return nil
}

// Kill stops the instance at once.
func (i *Instance) Kill() {
	if i.Daemon != nil {
		i.Daemon.Kill()
		i.Daemon = nil
	}
}

// LoseDisk removes the instance's data folder. It must not be running.
func (i *Instance) LoseDisk() error {
	if err := os.RemoveAll(i.Settings.DataFolder); err != nil {
		return errors.Wrap(err, "lose disk")
	}
	return nil
}

// Leading tells whether the instance leads.
func (i *Instance) Leading() bool {
	return i.Daemon != nil && i.Daemon.Node().Leading()
}

// WaitReady waits until every running instance is ready and the cell has all
// its voters.
func (c *Cell) WaitReady(ctx context.Context) error {
	for !c.ready() {
		select {
		case <-ctx.Done():
			return ErrNoLeader
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

func (c *Cell) ready() bool {
	voters := 0
	for _, i := range c.Instances {
		if i.Daemon == nil {
			continue
		}
		if ready, _ := i.Daemon.Node().Ready(); !ready {
			return false
		}
		if i.Leading() {
			voters = len(i.Daemon.Node().Membership().Voters())
		}
	}
	return voters >= c.cfg.Voters
}

// Leader returns the instance that leads, or nil.
func (c *Cell) Leader() *Instance {
	for _, i := range c.Instances {
		if i.Leading() {
			return i
		}
	}
	return nil
}

// WaitLeader waits for a leader other than the one given.
func (c *Cell) WaitLeader(ctx context.Context, not *Instance) (*Instance, error) {
	for {
		for _, i := range c.Instances {
			if i != not && i.Leading() {
				return i, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoLeader
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Callers returns a client of the callers' listeners with the key.
func (c *Cell) Callers(key string) *client.Client {
	return c.client(func(i *Instance) string { return i.Settings.Callers.Listen }, key)
}

// Targets returns a client of the targets' listeners.
func (c *Cell) Targets() *client.Client {
	return c.client(func(i *Instance) string { return i.Settings.Targets.Listen }, "")
}

// Operators returns a client of the operators' listeners.
func (c *Cell) Operators() *client.Client {
	return c.client(func(i *Instance) string { return i.Settings.Operators.Listen }, "")
}

func (c *Cell) client(address func(*Instance) string, credential string) *client.Client {
	var bases []string
	for _, i := range c.Instances {
		bases = append(bases, "http://"+address(i))
	}
	return client.New(bases, client.WithCredential(credential), client.WithHTTP(c.http))
}

// Kill stops every instance at once.
func (c *Cell) Kill() {
	for _, i := range c.Instances {
		i.Kill()
	}
}
