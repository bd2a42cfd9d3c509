// Package daemon runs one whole instance: a node with its HTTP listeners.
package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/config"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/node"
	"github.com/jasmineward/jasmineward/internal/peer"
)

// Daemon is one running instance.
type Daemon struct {
	settings  config.Settings
	log       *logrus.Logger
	node      *node.Node
	callers   *entry.Listener
	targets   *entry.Listener
	operators *entry.Listener
}

// Start starts an instance. With form, it is the first of a new cell.
func Start(settings config.Settings, form bool, log *logrus.Logger, opts ...node.Option) (*Daemon, error) {
	cfg := settings.NodeConfig()
	cfg.FormCell = form
	if settings.Peers.Certificate != "" {
		certs, err := peer.LoadCerts(settings.Peers.Certificate, settings.Peers.Key, settings.Peers.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		cfg.ServerTLS = certs.Server()
		cfg.ClientTLS = certs.Client()
	}
	n, err := node.Start(cfg, append([]node.Option{node.WithLogger(log)}, opts...)...)
	if err != nil {
		return nil, errors.Wrap(err, "start node")
	}
	d := &Daemon{
		settings: settings,
		log:      log,
		node:     n,
	}
	if err := d.open(); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) open() error {
	limits := d.settings.HTTPLimits()
	targetToken, err := readToken(d.settings.Targets.TokenFile)
	if err != nil {
		return err
	}
	operatorToken, err := readToken(d.settings.Operators.TokenFile)
	if err != nil {
		return err
	}
	if d.operators, err = d.listen("operators", d.settings.Operators,
		entry.NewOperatorsHandler(d.node, limits, operatorToken), limits); err != nil {
		return err
	}
	if d.targets, err = d.listen("targets", d.settings.Targets,
		entry.NewTargetsHandler(d.node, limits, targetToken), limits); err != nil {
		return err
	}
	d.callers, err = d.listen("callers", d.settings.Callers, entry.NewCallersHandler(d.node, limits), limits)
	return err
}

func (d *Daemon) listen(
	name string, endpoint config.Endpoint, handler http.Handler, limits entry.Limits,
) (*entry.Listener, error) {
	var secure *tls.Config
	if endpoint.Certificate != "" {
		certs, err := peer.LoadCerts(endpoint.Certificate, endpoint.Key, "")
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		secure = certs.Server()
	}
	return entry.Listen(name, endpoint.Listen, handler, limits, secure, d.log, d.node.Meter())
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return string(bytes.TrimSpace(data)), nil
}

// Node returns the daemon's node.
func (d *Daemon) Node() *node.Node {
	return d.node
}

// Callers returns the address on which callers are served.
func (d *Daemon) Callers() string {
	return d.callers.Address()
}

// Targets returns the address on which targets are served.
func (d *Daemon) Targets() string {
	return d.targets.Address()
}

// Operators returns the address on which operators are served.
func (d *Daemon) Operators() string {
	return d.operators.Address()
}

// Shutdown stops the instance without cutting a request: it is not ready
// first, for as long as the balancer takes to see it, then hands the
// leadership over, lets what is in flight finish, and stops.
func (d *Daemon) Shutdown() error {
	wait := time.Duration(d.settings.Timing.ShutdownWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	d.log.Info("daemon: shutting down")
	d.node.Drain(ctx)
	time.Sleep(time.Duration(d.settings.Timing.BalancerWait))
	var failed error
	for _, listener := range []*entry.Listener{d.callers, d.targets, d.operators} {
		if err := listener.Shutdown(ctx); err != nil {
			failed = err
		}
	}
	d.node.Stop()
	d.log.Info("daemon: stopped")
	return failed
}

// Kill stops the instance at once and cuts what is in flight.
func (d *Daemon) Kill() {
	for _, listener := range []*entry.Listener{d.callers, d.targets, d.operators} {
		if listener != nil {
			listener.Close()
		}
	}
	d.node.Stop()
}

// Failed is closed when the instance's replica has stopped for good. A
// replica that joins later than the start is watched as well.
func (d *Daemon) Failed() <-chan struct{} {
	return d.node.Failed()
}
