package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/note"
)

// settingsEnv is the environment variable that holds the path of the settings
// file.
const settingsEnv = "JASCTL_SETTINGS"

// settings is the content of a settings file. Flags take precedence over it.
type settings struct {
	Callers   []string      `toml:"callers"`
	Operators []string      `toml:"operators"`
	KeyFile   string        `toml:"key-file"`
	TokenFile string        `toml:"token-file"`
	Timeout   note.Duration `toml:"timeout"`
}

const defaultTimeout = 15 * time.Second

// commonFlags are the flags of every command.
type commonFlags struct {
	file      string
	callers   string
	operators string
	keyFile   string
	tokenFile string
	timeout   time.Duration
	asJSON    bool
}

func (c *commonFlags) register(set *flag.FlagSet) {
	set.StringVar(&c.file, "settings", os.Getenv(settingsEnv), "settings `file`, in TOML")
	set.StringVar(&c.callers, "callers", "", "base `URLs` of the callers' API, separated by commas")
	set.StringVar(&c.operators, "operators", "", "base `URLs` of the operators' API, separated by commas")
	set.StringVar(&c.keyFile, "key-file", "", "`file` that holds the key")
	set.StringVar(&c.tokenFile, "token-file", "", "`file` that holds the operators' token")
	set.DurationVar(&c.timeout, "timeout", 0, "how long to retry (default 15s)")
	set.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// extraFlags registers the flags that a command has in addition to the common
// ones.
var extraFlags = map[string]func(set *flag.FlagSet) any{
	"job submit": func(set *flag.FlagSet) any { return newSubmitFlags(set) },
	"job get":    func(set *flag.FlagSet) any { return newServiceFlags(set) },
	"job wait":   func(set *flag.FlagSet) any { return newServiceFlags(set) },
	"job cancel": func(set *flag.FlagSet) any { return newServiceFlags(set) },
	"job list":   func(set *flag.FlagSet) any { return newListFlags(set) },
	"explain":    func(set *flag.FlagSet) any { return newLogsFlags(set) },
	"note apply": func(set *flag.FlagSet) any { return newWaitFlags(set) },
}

func newFlagSet(name string) (*flag.FlagSet, *commonFlags, any) {
	set := flag.NewFlagSet("jasctl "+name, flag.ContinueOnError)
	c := &commonFlags{}
	c.register(set)
	var extra any
	if register := extraFlags[name]; register != nil {
		extra = register(set)
	}
	return set, c, extra
}

func printFlags(name string, out io.Writer) {
	set, _, _ := newFlagSet(name)
	set.SetOutput(out)
	set.PrintDefaults()
}

// parse parses the flags and the settings file, and checks the number of remaining
// arguments.
func (t *tool) parse(name string, args []string, wantArgs int) ([]string, any, error) {
	set, c, extra := newFlagSet(name)
	set.SetOutput(io.Discard)
	if err := set.Parse(args); err != nil {
		return nil, nil, errors.Wrapf(errUsage, "%s", err)
	}
	if set.NArg() != wantArgs {
		return nil, nil, errors.Wrapf(errUsage, "%s takes %d arguments, got %d", name, wantArgs, set.NArg())
	}
	t.asJSON = c.asJSON
	if err := t.loadSettings(c); err != nil {
		return nil, nil, err
	}
	return set.Args(), extra, nil
}

func (t *tool) loadSettings(c *commonFlags) error {
	if c.file != "" {
		data, err := os.ReadFile(c.file)
		if err != nil {
			return errors.Wrapf(errUsage, "settings: %s", err)
		}
		decoder := toml.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&t.settings); err != nil {
			return errors.Wrapf(errUsage, "settings: %s", err)
		}
	}
	if c.callers != "" {
		t.settings.Callers = strings.Split(c.callers, ",")
	}
	if c.operators != "" {
		t.settings.Operators = strings.Split(c.operators, ",")
	}
	if c.keyFile != "" {
		t.settings.KeyFile = c.keyFile
	}
	if c.tokenFile != "" {
		t.settings.TokenFile = c.tokenFile
	}
	if c.timeout > 0 {
		t.settings.Timeout = note.Duration(c.timeout)
	}
	if t.settings.Timeout <= 0 {
		t.settings.Timeout = note.Duration(defaultTimeout)
	}
	return nil
}

func (t *tool) timeout() time.Duration {
	return time.Duration(t.settings.Timeout)
}

// callersClient returns a client of the callers' API.
func (t *tool) callersClient() (*client.Client, error) {
	return newClient("callers", t.settings.Callers, t.settings.KeyFile)
}

// operatorsClient returns a client of the operators' API.
func (t *tool) operatorsClient() (*client.Client, error) {
	return newClient("operators", t.settings.Operators, t.settings.TokenFile)
}

func newClient(listener string, baseURLs []string, credentialFile string) (*client.Client, error) {
	if len(baseURLs) == 0 {
		return nil, errors.Wrapf(errUsage, "-%s is required, or %s in the settings file", listener, listener)
	}
	credential := ""
	if credentialFile != "" {
		data, err := os.ReadFile(credentialFile)
		if err != nil {
			return nil, errors.Wrapf(errUsage, "credential: %s", err)
		}
		credential = strings.TrimSpace(string(data))
	}
	return client.New(baseURLs, client.WithCredential(credential)), nil
}

// print prints the value as JSON if requested, and else the table.
func (t *tool) print(value any, header []string, rows [][]string) error {
	if t.asJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return errors.Wrap(err, "print")
		}
		return nil
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}
