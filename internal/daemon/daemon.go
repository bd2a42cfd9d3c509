// Package daemon runs a complete instance: a node with its HTTP listeners.
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

// Start starts an instance. With formCell, it forms a new cell as its first
// instance.
func Start(settings config.Settings, formCell bool, log *logrus.Logger, opts ...node.Option) (*Daemon, error) {
	cfg := settings.NodeConfig()
	cfg.FormCell = formCell
	if settings.Peers.Certificate != "" {
		certs, err := peer.LoadCerts(settings.Peers.Certificate, settings.Peers.Key, settings.Peers.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		cfg.ServerTLS = certs.ServerConfig()
		cfg.ClientTLS = certs.ClientConfig()
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
	if err := d.openListeners(); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openListeners() error {
	limits := d.settings.HTTPLimits()
	in := entry.NewIntake(limits, d.log)
	d.node.Metrics().Register(in.Collector())
	withIntake := entry.WithIntake(in)
	targetToken, err := readToken(d.settings.Targets.TokenFile)
	if err != nil {
		return err
	}
	operatorToken, err := readToken(d.settings.Operators.TokenFile)
	if err != nil {
		return err
	}
	if d.operators, err = d.listen("operators", d.settings.Operators,
		entry.NewOperatorsHandler(d.node, limits, operatorToken, withIntake), limits, withIntake); err != nil {
		return err
	}
	if d.targets, err = d.listen("targets", d.settings.Targets,
		entry.NewTargetsHandler(d.node, limits, targetToken, withIntake), limits, withIntake); err != nil {
		return err
	}
	d.callers, err = d.listen("callers", d.settings.Callers,
		entry.NewCallersHandler(d.node, limits, withIntake), limits, withIntake)
	return err
}

func (d *Daemon) listen(
	name string, endpoint config.Endpoint, handler http.Handler, limits entry.Limits, opts ...entry.Option,
) (*entry.Listener, error) {
	var tlsConfig *tls.Config
	if endpoint.Certificate != "" {
		certs, err := peer.LoadCerts(endpoint.Certificate, endpoint.Key, "")
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		tlsConfig = certs.ServerConfig()
	}
	return entry.Listen(name, endpoint.Listen, handler, limits, tlsConfig, d.log, d.node.Metrics(), opts...)
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

// CallersAddress returns the address of the callers' listener.
func (d *Daemon) CallersAddress() string {
	return d.callers.Address()
}

// TargetsAddress returns the address of the targets' listener.
func (d *Daemon) TargetsAddress() string {
	return d.targets.Address()
}

// OperatorsAddress returns the address of the operators' listener.
func (d *Daemon) OperatorsAddress() string {
	return d.operators.Address()
}

// Shutdown stops the instance gracefully. The instance becomes unready and hands
// over leadership, waits until load balancers have noticed, lets requests in
// flight finish, and stops.
func (d *Daemon) Shutdown() error {
	timeout := time.Duration(d.settings.Timing.ShutdownWait)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.log.Info("daemon: shutting down")
	d.node.Drain(ctx)
	time.Sleep(time.Duration(d.settings.Timing.BalancerWait))
	var shutdownErr error
	for _, listener := range []*entry.Listener{d.callers, d.targets, d.operators} {
		if err := listener.Shutdown(ctx); err != nil {
			shutdownErr = err
		}
	}
	d.node.Stop()
	d.log.Info("daemon: stopped")
	return shutdownErr
}

// Kill stops the instance immediately and aborts requests in flight.
func (d *Daemon) Kill() {
	for _, listener := range []*entry.Listener{d.callers, d.targets, d.operators} {
		if listener != nil {
			listener.Close()
		}
	}
	d.node.Stop()
}

// Failed returns a channel that is closed when the instance's replica has failed.
// It covers replicas that are added after the start.
func (d *Daemon) Failed() <-chan struct{} {
	return d.node.Failed()
}
