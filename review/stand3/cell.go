package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// The bounds of a small installation (hundepark-drift).
const (
	heartbeatMs = 1500
	maxHoldMs   = 6000
	stopMs      = 900
	drainTime   = 2 * time.Second
)

// zones are the failure domains of the deployment.
var zones = []string{"sjaelland", "fyn", "nordjylland", "sydjylland"}

// node is one process of the system.
type node struct {
	name     string
	core     bool
	zone     string
	ip       string
	listen   string
	settings string
	folder   string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// cell is the processes of a small deployment on loopback addresses.
type cell struct {
	rec                            *record
	folder                         string
	subnet                         string
	peer, frontend, ready, control int
	cores, edges                   []*node
}

// newCell chooses addresses and ports for so many processes.
func newCell(rec *record, cores, edges int, behindProxy bool) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cell{
		rec:    rec,
		folder: folder,
		subnet: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	for i := range cores {
		n := &node{
			name: "core-" + strconv.Itoa(i+1),
			core: true,
			zone: zones[i%len(zones)],
			ip:   c.subnet + strconv.Itoa(11+i),
		}
		if behindProxy {
			n.listen = c.subnet + strconv.Itoa(31+i)
		}
		c.cores = append(c.cores, n)
	}
	for i := range edges {
		c.edges = append(c.edges, &node{
			name: "edge-" + strconv.Itoa(i+1),
			zone: zones[i%len(zones)],
			ip:   c.subnet + strconv.Itoa(51+i),
		})
	}
	for _, port := range []*int{&c.peer, &c.frontend, &c.ready, &c.control} {
		if *port, err = c.freePort(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port that is free on the address of each node.
func (c *cell) freePort() (int, error) {
	for range 100 {
		port := 20000 + rand.IntN(10000)
		if port != c.peer && port != c.frontend && port != c.ready && c.isFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %s0", c.subnet)
}

func (c *cell) isFree(port int) bool {
	for _, n := range c.nodes() {
		for _, ip := range []string{n.ip, n.listen} {
			if ip == "" {
				continue
			}
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (c *cell) nodes() []*node {
	return append(append([]*node(nil), c.cores...), c.edges...)
}

// start writes the settings of all nodes and starts their processes.
func (c *cell) start(ctx context.Context) error {
	template, err := os.ReadFile("deploy/instance.toml")
	if err != nil {
		return err
	}
	for _, n := range c.nodes() {
		n.folder = filepath.Join(c.folder, n.name)
		n.settings = filepath.Join(c.folder, n.name+".toml")
		text, err := fill(string(template), c.fields(n))
		if err != nil {
			return err
		}
		if n.listen != "" {
			text += "listen = " + strconv.Quote(n.listen) + "\n"
		}
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := c.run(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// fields returns the fields that the platform fills in for a node.
func (c *cell) fields(n *node) map[string]any {
	bind := map[string]any{}
	dataFolder := ""
	memory, files := 284, 4100
	if n.core {
		bind["control_plane"] = net.JoinHostPort(n.ip, strconv.Itoa(c.control))
		dataFolder = n.folder
		memory, files = 280, 4096
	} else {
		bind["frontend"] = net.JoinHostPort(n.ip, strconv.Itoa(c.frontend))
		bind["readiness"] = net.JoinHostPort(n.ip, strconv.Itoa(c.ready))
	}
	var seeds []string
	for _, core := range c.cores[:3] {
		seeds = append(seeds, net.JoinHostPort(core.ip, strconv.Itoa(c.control)))
	}
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = "danmark"
	}
	return map[string]any{
		"node_name":           n.name,
		"zone":                n.zone,
		"ip":                  n.ip,
		"internal_port_range": []int{c.peer, c.peer + 15},
		"bind_addrs":          bind,
		"data_dir":            dataFolder,
		"bootstrap":           true,
		"seed_nodes":          seeds,
		"heartbeat_ms":        heartbeatMs,
		"zones":               regions,
		"recommendation":      net.JoinHostPort(c.subnet+"250", "8182"),
		"cloud_api":           map[string]any{"address": net.JoinHostPort(c.subnet+"251", "8182")},
		"fault_tolerance":     map[string]any{"machines": 1},
		"limits": map[string]any{
			"memory_mb": memory,
			"max_fds":   files,
		},
		"bounds": map[string]any{
			"max_hold_ms":     maxHoldMs,
			"status_s":        120,
			"catch_up_s":      4,
			"stop_timeout_ms": stopMs,
			"grace_s":         6,
		},
	}
}

// run starts the process of a node, as the deploy file says.
func (c *cell) run(ctx context.Context, n *node) error {
	if err := os.MkdirAll(n.folder, 0o700); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.CommandContext(ctx, "target/jasmined", "platform")
	cmd.Env = []string{
		"JASMINEWARD_CONFIG=" + n.settings,
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + c.folder,
		"LANG=C",
	}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	c.rec.add("system: %s (%s) starts as process %d", n.name, n.ip, cmd.Process.Pid)
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.ended)
	return nil
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (c *cell) stop() {
	for _, n := range c.nodes() {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
		return
	}
	c.rec.add("logs are kept in %s", c.folder)
}

func (c *cell) controlAddresses() []string {
	var all []string
	for _, n := range c.cores {
		all = append(all, net.JoinHostPort(n.ip, strconv.Itoa(c.control)))
	}
	return all
}

func (c *cell) frontendOf(n *node) string {
	return net.JoinHostPort(n.ip, strconv.Itoa(c.frontend))
}
