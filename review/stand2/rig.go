package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	coreCount   = 3
	edgeCount   = 2
	workerCount = 12
	// The programs and the template of the settings, from the repository's root.
	program  = "target/jasmined"
	template = "deploy/instance.toml"
	// startTimeout bounds the wait for the system to serve.
	startTimeout = 20 * time.Second
	filePerm     = 0o600
	// metricsPort is the one in the template.
	metricsPort = 9464
)

// Bounds of the rules, as in the site file hundepark-drift.
const (
	cancelTime    = 3 * time.Second
	visibleTime   = 3 * time.Second
	stopTime      = 900 * time.Millisecond
	maxHold       = 6 * time.Second
	finishTime    = 14 * time.Second
	heartbeatTime = 1500 * time.Millisecond
)

// rig is a small deployment: processes of the project, and stand-ins for workers.
type rig struct {
	record  *record
	dir     string
	net     int
	claim   net.Listener
	ports   ports
	cores   []*machine
	edges   []*machine
	fleet   *fleet
	proxies []*proxy
	version int
	taken   map[int]bool
	// limit is what the first tenant may have running, in thousandths of a core, or zero.
	limit int
	// skew is how far the time of day of a worker is ahead at first.
	skew map[int]time.Duration
}

// ports are the same on all machines.
type ports struct {
	peer, callers, readiness, operators, worker int
}

// machine is one machine of the system, with its process.
type machine struct {
	rig      *rig
	name     string
	ip       string
	settings string
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
}

// newRig chooses free addresses. The processes are started by start.
func newRig(record *record) (*rig, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	dir, err := os.MkdirTemp("", "jasmineward-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		record: record,
		dir:    dir,
		taken:  map[int]bool{},
	}
	if err := r.claimNet(); err != nil {
		return nil, err
	}
	r.fleet = newFleet(r)
	ports := []*int{&r.ports.peer, &r.ports.callers, &r.ports.readiness, &r.ports.operators, &r.ports.worker}
	for _, port := range ports {
		if *port, err = r.freePort(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// claimNet chooses a range of loopback addresses that no other rig uses. The port of the
// metrics is the same on all machines, and is held at an address of its own meanwhile.
func (r *rig) claimNet() error {
	for range 50 {
		r.net = 20 + rand.IntN(200)
		claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(6, 1), metricsPort))
		if err != nil {
			continue
		}
		if r.isFree(metricsPort) {
			r.claim = claim
			return nil
		}
		_ = claim.Close()
	}
	return fmt.Errorf("%w: no free addresses", errSetup)
}

// freePort returns a port that is free at all addresses of the rig.
func (r *rig) freePort() (int, error) {
	for range 50 {
		listener, err := net.Listen("tcp", r.ip(1, 1)+":0")
		if err != nil {
			return 0, err
		}
		address, ok := listener.Addr().(*net.TCPAddr)
		_ = listener.Close()
		if ok && !r.taken[address.Port] && r.isFree(address.Port) {
			r.taken[address.Port] = true
			return address.Port, nil
		}
	}
	return 0, fmt.Errorf("%w: no free port", errSetup)
}

// isFree reports whether the port is free at all addresses of the rig.
func (r *rig) isFree(port int) bool {
	for class, machines := range map[int]int{1: coreCount, 2: edgeCount, 3: workerCount, 4: coreCount} {
		for i := 1; i <= machines; i++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(class, i), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// ip returns the loopback address of a machine of a class.
func (r *rig) ip(class, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.net, class, i)
}

// zoneOf returns the failure domain of a machine.
func zoneOf(i int) string {
	return fmt.Sprintf("zone-%d", (i-1)%coreCount+1)
}

// start starts the processes and the workers, sends the first configuration, and waits
// until the edge machines are ready and all workers are known. With proxies, the peers
// reach each core machine through a proxy.
func (r *rig) start(labels func(worker int) []string, proxied bool) error {
	for i := 1; i <= coreCount; i++ {
		r.cores = append(r.cores, r.newMachine(fmt.Sprintf("core-%d", i), 1, i))
	}
	for i := 1; i <= edgeCount; i++ {
		r.edges = append(r.edges, r.newMachine(fmt.Sprintf("edge-%d", i), 2, i))
	}
	for _, m := range append(append([]*machine(nil), r.cores...), r.edges...) {
		if err := m.writeSettings(proxied); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := r.waitFor("the first configuration", func() bool { return r.configure(r.tenants(), r.cores...) == 200 }); err != nil {
		return err
	}
	for i := 1; i <= workerCount; i++ {
		if err := r.fleet.add(i, labels(i)); err != nil {
			return err
		}
	}
	for _, edge := range r.edges {
		if err := r.waitFor(edge.name, func() bool { return r.ready(edge) }); err != nil {
			return err
		}
	}
	return r.waitFor("the workers", r.fleet.allHeld)
}

// waitFor waits until the condition holds.
func (r *rig) waitFor(what string, holds func() bool) error {
	started := time.Now()
	for !holds() {
		if time.Since(started) > startTimeout {
			return fmt.Errorf("%w: no sign of %s", errSetup, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// newMachine returns a machine of the class of addresses.
func (r *rig) newMachine(name string, class, i int) *machine {
	return &machine{
		rig:      r,
		name:     name,
		ip:       r.ip(class, i),
		settings: filepath.Join(r.dir, name+".toml"),
	}
}

// isCore reports whether the machine has a disk.
func (m *machine) isCore() bool {
	return strings.HasPrefix(m.name, "core")
}

var placeholder = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings(proxied bool) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	values := m.values()
	seeds := make([]string, 0, coreCount)
	for i := 1; i <= coreCount; i++ {
		ip := m.rig.ip(1, i)
		if proxied {
			ip = m.rig.ip(4, i)
		}
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, m.rig.ports.operators)))
	}
	filled := strings.Replace(string(text), `{{#seed_nodes}}{{.|json}}{{,}}{{/seed_nodes}}`, strings.Join(seeds, ","), 1)
	filled = placeholder.ReplaceAllStringFunc(filled, func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		if plain, ok := strings.CutSuffix(name, "|json"); ok {
			return fmt.Sprintf("%q", values[plain])
		}
		return values[name]
	})
	if proxied && m.isCore() {
		front := strings.Replace(m.ip, ".1.", ".4.", 1)
		filled = strings.Replace(filled, fmt.Sprintf("address = %q", m.ip), fmt.Sprintf("address = %q\nlisten = %q", front, m.ip), 1)
		p, err := newProxy(fmt.Sprintf("%s:%d", front, m.rig.ports.peer), fmt.Sprintf("%s:%d", m.ip, m.rig.ports.peer), m.rig.record)
		if err != nil {
			return err
		}
		m.rig.proxies = append(m.rig.proxies, p)
	}
	return os.WriteFile(m.settings, []byte(filled), filePerm)
}

// values returns the fields of the settings that the template uses.
func (m *machine) values() map[string]string {
	p := m.rig.ports
	number := m.ip[strings.LastIndexByte(m.ip, '.')+1:]
	values := map[string]string{
		"node_name": m.name, "zone": "zone-" + number, "ip": m.ip,
		"internal_port_range.0": fmt.Sprint(p.peer),
		"bootstrap":             "true", "fault_tolerance.machines": "1",
		"limits.memory_mb": "284", "limits.max_fds": "4100",
		"bounds.max_hold_ms": "6000", "bounds.status_s": "120", "bounds.catch_up_s": "4",
		"bounds.stop_timeout_ms": "900", "heartbeat_ms": "1500", "bounds.grace_s": "6",
		"recommendation":    fmt.Sprintf("%s:%d", m.rig.ip(5, 1), p.worker),
		"cloud_api.address": fmt.Sprintf("%s:%d", m.rig.ip(5, 2), p.worker),
	}
	if m.isCore() {
		values["bind_addrs.control_plane"] = fmt.Sprintf("%s:%d", m.ip, p.operators)
		values["data_dir"] = filepath.Join(m.rig.dir, m.name)
		return values
	}
	values["bind_addrs.frontend"] = fmt.Sprintf("%s:%d", m.ip, p.callers)
	values["bind_addrs.readiness"] = fmt.Sprintf("%s:%d", m.ip, p.readiness)
	return values
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.rig.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "platform")
	cmd.Env = append(os.Environ(), "JASMINEWARD_CONFIG="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.log = cmd, log
	m.rig.record.add("process", "%s starts", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rig.record.add("disrupt", "%s gets the signal %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// stop ends the process.
func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	_ = m.log.Close()
}

// logHas reports whether the log of the process has a line with all the texts.
func (m *machine) logHas(texts ...string) bool {
	data, err := os.ReadFile(filepath.Join(m.rig.dir, m.name+".log"))
	if err != nil {
		return false
	}
	for line := range bytes.Lines(data) {
		found := true
		for _, text := range texts {
			found = found && bytes.Contains(line, []byte(text))
		}
		if found {
			return true
		}
	}
	return false
}

// recordLogs records the last line of the log of each process.
func (r *rig) recordLogs() {
	for _, m := range append(append([]*machine(nil), r.cores...), r.edges...) {
		data, err := os.ReadFile(filepath.Join(r.dir, m.name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		r.record.add("process", "%s logs last: %s", m.name, lines[len(lines)-1])
	}
}

// leader returns the core machine that leads: the last that says so in its log.
func (r *rig) leader() *machine {
	for _, m := range r.cores {
		if m.logHas(`"sched: leading"`) && !m.logHas(`"sched: no longer leading"`) {
			return m
		}
	}
	return nil
}

// close ends all processes and stand-ins, and removes the temporary folder unless the
// variable KEEP is set.
func (r *rig) close() {
	for _, m := range append(append([]*machine(nil), r.edges...), r.cores...) {
		m.stop()
	}
	r.fleet.close()
	for _, p := range r.proxies {
		p.close()
	}
	_ = r.claim.Close()
	if os.Getenv("KEEP") != "" {
		r.record.add("result", "logs are kept in %s", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// tenant is a client account of the configuration.
type tenant struct {
	Name   string         `json:"name"`
	Keys   []string       `json:"api_keys"`
	Weight int            `json:"weight"`
	Cap    map[string]int `json:"cap"`
}

// Names in the configuration.
const (
	service = "parkapp"
	host    = "nony24.example"
	// The prefixes of the two queues.
	urgent = "/lohu930/"
	batch  = "/pufi791/"
	// The first two keys are of the first tenant.
	ownKey   = "6x73d3zji9n73hh2b9wu"
	lostKey  = "3fexd9dnn2ctnfzs989a"
	otherKey = "2u8xk1v5h0c7r4tq6ynm"
)

// tenants returns the tenants of the first configuration. The first one may have as much
// running as the rig says, the other has no limit.
func (r *rig) tenants() []tenant {
	limit := func(cpu int) map[string]int {
		return map[string]int{
			"cpu":    cpu,
			"mem_mb": 0,
			"gpus":   0,
		}
	}
	return []tenant{
		{
			Name:   "kaje80",
			Keys:   []string{ownKey, lostKey},
			Weight: 12,
			Cap:    limit(r.limit),
		},
		{
			Name:   "huvo11",
			Keys:   []string{otherKey},
			Weight: 12,
			Cap:    limit(0),
		},
	}
}

// route returns a queue of the configuration.
func route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": "non_idempotent",
		"timeout_ms": 3000, "target_latency_ms": 250, "priority": priority, "service": service,
		"max_attempts": 4, "stretch": 2.2, "public": false,
	}
}

// configure sends the next configuration to the given core machines in turn until it is
// acknowledged, and returns the status.
func (r *rig) configure(tenants []tenant, cores ...*machine) int {
	r.version += 3
	body, err := json.Marshal(map[string]any{
		"version": r.version,
		"routes":  []map[string]any{route("r-ihhacru", urgent, 0), route("r-ddedev3", batch, 2)},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1",
			"tls": false, "admission_check": false, "standby": false,
		}},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 262144,
			"header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants,
	})
	if err != nil {
		return 0
	}
	for _, core := range cores {
		url := fmt.Sprintf("http://%s:%d/jasmineward/config/replace", core.ip, r.ports.operators)
		status, _ := send("POST", url, "", "", body, time.Second)
		r.record.add("operator", "sends version %d to %s, is answered %d", r.version, core.name, status)
		if status == 200 {
			return status
		}
	}
	return 0
}

// ready reports whether the edge machine says that it is ready.
func (r *rig) ready(edge *machine) bool {
	status, _ := send("GET", fmt.Sprintf("http://%s:%d/jasmineward/ready", edge.ip, r.ports.readiness), "", "", nil, time.Second)
	return status == 200
}
