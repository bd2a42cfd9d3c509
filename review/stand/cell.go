package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// program is the command of the deploy file.
	program    = "target/jasmined"
	voterCount = 3
	entryCount = 2
	// readyTimeout is how long the instances may take to be ready.
	readyTimeout = 30 * time.Second
	// configApplyTime is the bound config_apply_ms of the site.
	configApplyTime = 2 * time.Second
	// contactTime is the bound contact_ms of the site.
	contactTime = 3 * time.Second
)

// errNotReady is returned if the instances do not form a group in time.
var errNotReady = errors.New("the cell is not ready")

// cell is a small deployment: three voters and two entry instances, each a process.
type cell struct {
	record  *record
	dir     string
	network int
	// control and entries are the addresses that the instances serve.
	control   []string
	entries   []string
	readiness []string
	peerPort  int
	processes []*exec.Cmd
	workers   []*worker
}

// address returns a loopback address of the cell.
func (c *cell) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, group, host)
}

// freePort returns a port that is free on the loopback address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return 0, errors.New("no TCP address")
	}
	return address.Port, nil
}

// startCell starts the instances and waits until the entry instances are ready.
func startCell(r *record) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{
		record:  r,
		dir:     dir,
		network: 64 + rand.IntN(128),
	}
	var ports [4]int
	for i := range ports {
		if ports[i], err = freePort(c.address(1, 1)); err != nil {
			return c, err
		}
	}
	c.peerPort = ports[0]
	for i := range voterCount {
		c.control = append(c.control, fmt.Sprintf("%s:%d", c.address(1, i+1), ports[1]))
	}
	for i := range voterCount {
		name := fmt.Sprintf("core-zone%d-1", i+1)
		err := c.startInstance(name, i, c.address(1, i+1), fmt.Sprintf("operators = %q\ndata-folder = %q\n",
			c.control[i], filepath.Join(dir, name)))
		if err != nil {
			return c, err
		}
	}
	for i := range entryCount {
		ip := c.address(2, i+1)
		c.entries = append(c.entries, fmt.Sprintf("%s:%d", ip, ports[2]))
		c.readiness = append(c.readiness, fmt.Sprintf("%s:%d", ip, ports[3]))
		err := c.startInstance(fmt.Sprintf("edge-zone%d-1", i+1), i, ip, fmt.Sprintf(
			"callers = %q\nreadiness = %q\ndata-folder = \"\"\n", c.entries[i], c.readiness[i]))
		if err != nil {
			return c, err
		}
	}
	return c, c.waitReady()
}

// startInstance starts a process with settings as the deploy template lays them out.
func (c *cell) startInstance(name string, zone int, ip, own string) error {
	seeds := make([]string, 0, len(c.control))
	for _, address := range c.control {
		seeds = append(seeds, fmt.Sprintf("%q", address))
	}
	settings := fmt.Sprintf("name = %q\nfailure-domain = \"zone%d\"\naddress = %q\npeer-port = %d\n"+
		"metrics = \"%s:9464\"\n%sfirst-start = true\nseeds = [%s]\nadvisor = \"\"\nfleet = \"\"\n"+
		"tolerated-losses = 1\nmax-memory-mib = 280\nmax-open-files = 4096\nlog-buffer-bytes = 262144\n"+
		"max-lease-ms = %d\nretention-s = 120\ncatch-up-s = 4\nmax-stop-ms = %d\nheartbeat-ms = %d\ngrace-s = 6\n",
		name, zone+1, ip, c.peerPort, ip, own, strings.Join(seeds, ","),
		maxHold.Milliseconds(), stopTimeout.Milliseconds(), heartbeatInterval.Milliseconds())
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "platform")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"JASMINEWARD_CONFIG=" + path,
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	c.processes = append(c.processes, cmd)
	c.record.write("start %s at %s", name, ip)
	return nil
}

// waitReady waits until all entry instances report that they are ready.
func (c *cell) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range c.readiness {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/jasmineward/ready", nil)
			if err != nil {
				return err
			}
			if send(req, time.Second).taken() {
				ready++
			}
		}
		if ready == len(c.readiness) {
			return nil
		}
	}
	return errNotReady
}

// stop ends the workers and the processes, and removes the temporary folder. With
// STAND_KEEP set, the folder with the logs stays.
func (c *cell) stop() {
	for _, w := range c.workers {
		w.end("the test is over")
	}
	for _, p := range c.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if os.Getenv("STAND_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// newCaller returns a client that calls the given entry instance.
func (c *cell) newCaller(name, key string, entry int) *caller {
	return &caller{
		name:   name,
		key:    key,
		entry:  c.entries[entry],
		record: c.record,
	}
}
