// Command jasmined runs one instance of a cell.
//
// The exit code is 0 after a graceful shutdown, 1 if the instance failed, and 2 if
// its settings are invalid.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/config"
	"github.com/jasmineward/jasmineward/internal/daemon"
	plat "github.com/jasmineward/jasmineward/platform"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		return runPlatform(os.Args[2:])
	}
	path := flag.String("config", "", "settings file, in TOML")
	check := flag.Bool("check", false, "check the settings and exit")
	printConfig := flag.Bool("print-config", false, "print the effective settings and exit")
	formCell := flag.Bool("form-cell", false, "form a new cell with this instance as its first")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "jasmined: -config FILE is required, and no arguments are allowed")
		flag.Usage()
		return exitSettings
	}
	settings, err := config.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	switch {
	case *check:
		fmt.Println("settings are valid")
		return exitOK
	case *printConfig:
		return printSettings(settings)
	}
	return serve(settings, *formCell)
}

// runPlatform runs an instance of a group on the users' platform, or only checks
// its settings. The platform provides the path of the settings file.
func runPlatform(args []string) int {
	flags := flag.NewFlagSet("jasmined platform", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings and exit")
	if flags.Parse(args) != nil || flags.NArg() > 0 {
		return exitSettings
	}
	err := runOrCheck(*check)
	switch {
	case err == nil && *check:
		fmt.Println("settings are valid")
		return exitOK
	case err == nil:
		return exitOK
	case errors.Is(err, plat.ErrInvalidSettings), errors.Is(err, plat.ErrNoSettings):
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

// runOrCheck runs the instance, or only loads its settings if check is set.
func runOrCheck(check bool) error {
	if check {
		_, err := plat.LoadSettings()
		return err
	}
	return plat.Run()
}

func printSettings(settings config.Settings) int {
	text, err := settings.TOML()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(text)
	return exitOK
}

func serve(settings config.Settings, formCell bool) int {
	log := newLogger(settings.Log)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(settings, formCell, log)
	if err != nil {
		log.Errorf("daemon: %s", err)
		return exitFailed
	}
	log.Infof("daemon: started name=%s callers=%s targets=%s operators=%s peers=%s",
		settings.Name, d.CallersAddress(), d.TargetsAddress(), d.OperatorsAddress(), d.Node().Address())
	select {
	case <-signals:
	case <-d.Failed():
		log.Errorf("daemon: replica failed: %s", d.Node().Err())
		d.Kill()
		return exitFailed
	}
	if err := d.Shutdown(); err != nil {
		log.Errorf("daemon: %s", err)
		return exitFailed
	}
	return exitOK
}

func newLogger(logging config.Logging) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(logging.Level); err == nil {
		log.SetLevel(level)
	}
	if logging.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
