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

// ErrNoLeader is returned when a cell has no leader, or is not ready, before
// the context ends.
var ErrNoLeader = errors.New("cell has no leader")

// CellConfig configures a cell that runs in this process.
type CellConfig struct {
	// DataDir holds one data directory for each instance with a disk.
	DataDir string
	// Voters, Spares and Diskless are numbers of instances. Voters and spares
	// have a data directory; diskless instances hold no replica of the log.
	Voters   int
	Spares   int
	Diskless int
	// Domains are the failure domains, assigned to the instances round-robin.
	Domains []string
	// ModifySettings, if set, changes the settings of each instance before it
	// starts.
	ModifySettings func(*config.Settings)
	Log            *logrus.Logger
	// Network, if set, delays and partitions the connections between instances.
	Network *Network
}

// Cell is a cell whose instances run in this process and use real HTTP and RPC
// over the loopback interface.
type Cell struct {
	cfg        CellConfig
	Instances  []*Instance
	httpClient *http.Client
}

// Instance is one instance of a Cell.
type Instance struct {
	Settings config.Settings
	Daemon   *daemon.Daemon
	cell     *Cell
}

// DiscardLogger returns a logger that discards its output.
func DiscardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// StartCell starts a cell and waits until every instance is ready and the cell
// has all its voters.
func StartCell(ctx context.Context, cfg CellConfig) (*Cell, error) {
	if cfg.Log == nil {
		cfg.Log = DiscardLogger()
	}
	if len(cfg.Domains) == 0 {
		cfg.Domains = []string{"ba", "nadi", "sigatoka", "nausori"}
	}
	c := &Cell{
		cfg: cfg,
		httpClient: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4096,
			MaxIdleConns:        8192,
		}},
	}
	total := cfg.Voters + cfg.Spares + cfg.Diskless
	for i := range total {
		if err := c.addInstance(i, i < cfg.Voters+cfg.Spares); err != nil {
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

func (c *Cell) addInstance(i int, hasDisk bool) error {
	address := local.UnusedAddress()
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
	if hasDisk {
		settings.DataFolder = filepath.Join(c.cfg.DataDir, settings.Name)
	}
	for _, peer := range c.Instances {
		settings.Peers.Addresses = append(settings.Peers.Addresses, peer.Settings.Peers.Listen)
	}
	if c.cfg.ModifySettings != nil {
		c.cfg.ModifySettings(&settings)
	}
	instance := &Instance{
		Settings: settings,
		cell:     c,
	}
	c.Instances = append(c.Instances, instance)
	return instance.Start(i == 0)
}

// Start starts the instance, or restarts it after Kill or a shutdown. With
// formCell it bootstraps a new cell, as the first instance does.
func (i *Instance) Start(formCell bool) error {
	var opts []node.Option
	if i.cell.cfg.Network != nil {
		from := i.Settings.Peers.Listen
		opts = append(opts, node.WithConnWrapper(func(to string, conn net.Conn) net.Conn {
			return i.cell.cfg.Network.Wrap(from, to, conn)
		}))
	}
	d, err := daemon.Start(i.Settings, formCell, i.cell.cfg.Log, opts...)
	if err != nil {
		return err
	}
	i.Daemon = d
	if i.Settings.Callers.Listen == "127.0.0.1:0" {
		i.Settings.Callers.Listen = d.CallersAddress()
		i.Settings.Targets.Listen = d.TargetsAddress()
		i.Settings.Operators.Listen = d.OperatorsAddress()
	}
	return nil
}

// Kill stops the instance without a graceful shutdown.
func (i *Instance) Kill() {
	if i.Daemon != nil {
		i.Daemon.Kill()
		i.Daemon = nil
	}
}

// RemoveData deletes the instance's data directory, as the loss of its disk
// would. The instance must not be running.
func (i *Instance) RemoveData() error {
	if err := os.RemoveAll(i.Settings.DataFolder); err != nil {
		return errors.Wrap(err, "remove data directory")
	}
	return nil
}

// Leading reports whether the instance is the leader.
func (i *Instance) Leading() bool {
	return i.Daemon != nil && i.Daemon.Node().IsLeader()
}

// WaitReady waits until every running instance is ready and the cell has all
// its voters.
func (c *Cell) WaitReady(ctx context.Context) error {
	for !c.isReady() {
		select {
		case <-ctx.Done():
			return ErrNoLeader
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// isReady reports whether every running instance is ready and the leader counts
// all voters.
func (c *Cell) isReady() bool {
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

// Leader returns the current leader, or nil.
func (c *Cell) Leader() *Instance {
	for _, i := range c.Instances {
		if i.Leading() {
			return i
		}
	}
	return nil
}

// WaitLeader waits until an instance other than except is the leader.
func (c *Cell) WaitLeader(ctx context.Context, except *Instance) (*Instance, error) {
	for {
		for _, i := range c.Instances {
			if i != except && i.Leading() {
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

// CallerClient returns a client of the caller listeners that authenticates with
// the API key.
func (c *Cell) CallerClient(key string) *client.Client {
	return c.newClient(func(i *Instance) string { return i.Settings.Callers.Listen }, key)
}

// TargetClient returns a client of the target listeners.
func (c *Cell) TargetClient() *client.Client {
	return c.newClient(func(i *Instance) string { return i.Settings.Targets.Listen }, "")
}

// OperatorClient returns a client of the operator listeners.
func (c *Cell) OperatorClient() *client.Client {
	return c.newClient(func(i *Instance) string { return i.Settings.Operators.Listen }, "")
}

func (c *Cell) newClient(address func(*Instance) string, credential string) *client.Client {
	var baseURLs []string
	for _, i := range c.Instances {
		baseURLs = append(baseURLs, "http://"+address(i))
	}
	return client.New(baseURLs, client.WithCredential(credential), client.WithHTTPClient(c.httpClient))
}

// Kill stops every instance without a graceful shutdown.
func (c *Cell) Kill() {
	for _, i := range c.Instances {
		i.Kill()
	}
}
