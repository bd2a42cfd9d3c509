package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/load"
	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/note"
)

// binary is the path of the jasmined under test, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(testMain(m))
}

func testMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jasmined-")
	if err != nil {
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "jasmined")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a jasmined process.
type process struct {
	c            *qt.C
	name         string
	settingsFile string
	log          string
	callers      string
	targets      string
	operators    string
	cmd          *exec.Cmd
}

// startCell starts a cell of three processes and waits until all are voters.
func startCell(t *testing.T) []*process {
	c := qt.New(t)
	dir := t.TempDir()
	var peers []string
	for range 3 {
		peers = append(peers, local.UnusedAddress())
	}
	var all []*process
	for i, domain := range []string{"ba", "nadi", "sigatoka"} {
		p := &process{
			c:         c,
			name:      fmt.Sprintf("i%d", i+1),
			callers:   local.UnusedAddress(),
			targets:   local.UnusedAddress(),
			operators: local.UnusedAddress(),
		}
		p.settingsFile = filepath.Join(dir, p.name+".toml")
		p.log = filepath.Join(dir, p.name+".log")
		settings := fmt.Sprintf(`name = %q
failure-domain = %q
data-folder = %q
[peers]
listen = %q
addresses = [%q, %q, %q]
[callers]
listen = %q
[targets]
listen = %q
[operators]
listen = %q
[timing]
balancer-wait = "100ms"
`, p.name, domain, filepath.Join(dir, p.name), peers[i], peers[0], peers[1], peers[2], p.callers, p.targets, p.operators)
		c.Assert(os.WriteFile(p.settingsFile, []byte(settings), 0o600), qt.IsNil)
		p.start(i == 0)
		all = append(all, p)
		t.Cleanup(p.kill)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		cell, err := operatorsClient(all).Cell(ctx)
		voters := 0
		for _, m := range cell.Members {
			if m.Voter {
				voters++
			}
		}
		if err == nil && voters == 3 && len(cell.Instances) == 3 {
			return all
		}
		c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("cell did not form: %v\n%s", err, readLogs(all)))
		time.Sleep(20 * time.Millisecond)
	}
}

// readLogs returns the output of all processes.
func readLogs(all []*process) string {
	var b strings.Builder
	for _, p := range all {
		data, err := os.ReadFile(p.log)
		fmt.Fprintf(&b, "%s (%v):\n%s", p.name, err, data)
	}
	return b.String()
}

func (p *process) start(formCell bool) {
	args := []string{"-config", p.settingsFile}
	if formCell {
		args = append(args, "-form-cell")
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.c.Assert(err, qt.IsNil)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.c.Assert(p.cmd.Start(), qt.IsNil)
}

func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

func baseURLs(all []*process, address func(*process) string) []string {
	var urls []string
	for _, p := range all {
		urls = append(urls, "http://"+address(p))
	}
	return urls
}

func operatorsClient(all []*process) *client.Client {
	return client.New(baseURLs(all, func(p *process) string { return p.operators }))
}

func findLeader(c *qt.C, all []*process) *process {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cell, err := operatorsClient(all).Cell(ctx)
	c.Assert(err, qt.IsNil)
	for _, p := range all {
		if p.name == cell.Leader {
			return p
		}
	}
	c.Fatalf("no leader")
	return nil
}

// runUnderLoad runs the sample workload at a rate while inject disturbs the
// processes, and checks that no guarantee was violated and every job was answered.
func runUnderLoad(t *testing.T, all []*process, inject func()) load.Report {
	c := qt.New(t)
	initialNote, err := load.SampleNote()
	c.Assert(err, qt.IsNil)
	workload, err := load.ReadWorkload(filepath.Join("..", "..", "internal", "load", "testdata", "bench.toml"))
	c.Assert(err, qt.IsNil)
	workload.Fleet[0].Workers = 8
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	runner := load.NewRunner(load.Clients{
		NewCallerClient: func(key string) *client.Client {
			return client.New(baseURLs(all, func(p *process) string { return p.callers }), client.WithCredential(key))
		},
		TargetClient:   client.New(baseURLs(all, func(p *process) string { return p.targets })),
		OperatorClient: operatorsClient(all),
	}, workload)
	defer runner.Close()
	c.Assert(runner.Prepare(ctx, initialNote), qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(time.Second)
		inject()
	}()
	runner.RunAtRate(ctx, 200, 4*time.Second)
	<-done
	report := runner.Report()
	c.Check(report.HasViolations(), qt.IsFalse, qt.Commentf("%+v", report))
	c.Check(report.Answered, qt.Equals, report.Jobs)
	return report
}

// TestKillLeader kills the leader with SIGKILL under load and restarts it, then
// does the same to the next leader.
func TestKillLeader(t *testing.T) {
	all := startCell(t)
	runUnderLoad(t, all, func() {
		for range 2 {
			leader := findLeader(qt.New(t), all)
			leader.kill()
			time.Sleep(1200 * time.Millisecond)
			leader.start(false)
			time.Sleep(800 * time.Millisecond)
		}
	})
}

// TestPauseLeader pauses the leader with SIGSTOP for longer than its lease, and
// resumes it.
func TestPauseLeader(t *testing.T) {
	all := startCell(t)
	runUnderLoad(t, all, func() {
		leader := findLeader(qt.New(t), all)
		_ = leader.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(2500 * time.Millisecond)
		_ = leader.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// TestGracefulTermination terminates the leader with SIGTERM under load. No request
// may be aborted, and the exit code must be 0.
func TestGracefulTermination(t *testing.T) {
	all := startCell(t)
	runUnderLoad(t, all, func() {
		leader := findLeader(qt.New(t), all)
		_ = leader.cmd.Process.Signal(syscall.SIGTERM)
		err := leader.cmd.Wait()
		qt.Check(t, err, qt.IsNil)
		leader.cmd = nil
		leader.start(false)
	})
}

// TestKeySecretIsNotStored checks that no file or log contains the secret of a key.
func TestKeySecretIsNotStored(t *testing.T) {
	c := qt.New(t)
	all := startCell(t)
	credential, key, err := note.NewKey("secret-key", "dispatch")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = operatorsClient(all).ApplyNote(ctx, note.Note{
		Number: 1,
		Changes: []note.Change{
			{
				Op:   note.OpAdd,
				Team: &note.Team{Name: "dispatch"},
			},
			{
				Op:  note.OpAdd,
				Key: &key,
			},
		},
	}, false, 5*time.Second)
	c.Assert(err, qt.IsNil)
	callers := client.New(baseURLs(all, func(p *process) string { return p.callers }), client.WithCredential(credential))
	_, err = callers.List(ctx, false, 1)
	c.Assert(err, qt.IsNil)
	for _, p := range all {
		p.kill()
	}
	secret := []byte(strings.SplitN(credential, ".", 3)[2])
	files := 0
	err = filepath.WalkDir(filepath.Dir(all[0].settingsFile), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		files++
		c.Check(bytes.Contains(data, secret), qt.IsFalse, qt.Commentf("%s", path))
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Check(files > 9, qt.IsTrue)
}

// TestInvalidSettings checks that every invalid setting is reported with file,
// line and key.
func TestInvalidSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "bad.toml")
	c.Assert(os.WriteFile(path, []byte(`name = "Bad Name"
failure-domain = "ba"
colour = "blue"
[peers]
listen = "127.0.0.1:7000"
[callers]
listen = "127.0.0.1:7000"
[targets]
listen = "somewhere:80"
[operators]
listen = "127.0.0.1:7003"
[timing]
election = 500
heartbeat = "400ms"
`), 0o600), qt.IsNil)
	out, err := exec.Command(binary, "-config", path, "-check").CombinedOutput()
	exit, ok := err.(*exec.ExitError) //nolint:errorlint // The test checks the concrete type.
	c.Assert(ok, qt.IsTrue)
	c.Check(exit.ExitCode(), qt.Equals, exitSettings)
	for _, want := range []string{
		"bad.toml:1: name:", "bad.toml:3: colour: is not a setting", "bad.toml:7: callers.listen:",
		"bad.toml:9: targets.listen:", "bad.toml:13: timing.election:", "bad.toml:14: timing.heartbeat:",
	} {
		c.Check(strings.Contains(string(out), want), qt.IsTrue, qt.Commentf("%q is not in\n%s", want, out))
	}
}

// TestPlatformSettings checks the validation of the settings file that the users'
// platform provides.
func TestPlatformSettings(t *testing.T) {
	const valid = "name = \"edge-1\"\naddress = \"127.0.0.1\"\npeer-port = 7000\nseeds = [\"127.0.0.1:7001\"]\n"
	for _, tc := range []struct {
		name string
		text string
		want string
		exit int
	}{
		{
			name: "valid",
			text: valid,
			want: "settings are valid",
			exit: exitOK,
		},
		{
			name: "port out of range",
			text: strings.Replace(valid, "7000", "70000", 1),
			want: "peer-port 70000 is out of range",
			exit: exitSettings,
		},
		{
			name: "not TOML",
			text: "name = ",
			want: "settings are wrong",
			exit: exitSettings,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "instance.toml")
			c.Assert(os.WriteFile(path, []byte(tc.text), 0o600), qt.IsNil)
			cmd := exec.Command(binary, "platform", "-check")
			cmd.Env = append(os.Environ(), "JASMINEWARD_CONFIG="+path)
			out, _ := cmd.CombinedOutput()
			c.Check(cmd.ProcessState.ExitCode(), qt.Equals, tc.exit)
			c.Check(string(out), qt.Contains, tc.want)
		})
	}
}

// TestDataFolderLock checks that a second process cannot use the data folder of a
// running one.
func TestDataFolderLock(t *testing.T) {
	all := startCell(t)
	out, err := exec.Command(binary, "-config", all[0].settingsFile).CombinedOutput()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, strings.Contains(string(out), "in use"), qt.IsTrue, qt.Commentf("%s", out))
}
