// Package process runs a node as a process: it parses the command line, handles
// signals, reloads settings and sets up logs, metrics and traces.
//
// # Usage
//
//	err := process.Run(process.Config{SettingsPath: "node.ini", LoadSettings: settings.Load})
package process

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// traceCloseTimeout bounds the export of the last spans.
const traceCloseTimeout = 3 * time.Second

const (
	// gcPercent is the growth of the heap between two collections of garbage. With the
	// runtime's default of 100 they take a tenth of the processor time of a node's calls.
	gcPercent = 200
	// softMemoryLimit is the memory in bytes from which garbage is collected more often. It
	// is below the memory of the smallest instances, so that only bytes in use can fill that.
	softMemoryLimit = 128 << 20
	// softMemoryPercent is the most that this limit may be of the memory in the settings. The
	// rest is for the code, and for what is allocated until garbage has been collected.
	softMemoryPercent = 60
)

// memoryLimit returns the memory from which garbage is collected more often, for a
// process that has the given memory in MB; zero means not known.
func memoryLimit(memory int64) int64 {
	if memory <= 0 {
		return softMemoryLimit
	}
	return min(softMemoryLimit, memory<<20*softMemoryPercent/100)
}

// Config configures Run. The settings file is read again on each reload.
type Config struct {
	SettingsPath string                                              // settings file
	LoadSettings func(path string) (*wire.Settings, record.Findings) // reads and checks a settings file
	Platform     *node.Platform                                      // nil means the built-in platform protocol
	LogOutput    io.Writer                                           // destination of the log if the settings name no file; os.Stderr if nil
}

// process holds the settings of a running node and what a reload can change.
type process struct {
	config   Config
	settings *wire.Settings
	level    *slog.LevelVar
	log      *slog.Logger
}

// Run runs a node with settings that were loaded and checked. It returns after
// SIGTERM or SIGINT when the node has stopped, with an error if calls were cut, or
// when the node fails.
func Run(config Config, s *wire.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(s.GetLimits().GetMemory()))
	if config.LogOutput == nil {
		config.LogOutput = os.Stderr
	}
	logOutput, err := openLog(s.GetLog().GetFile(), config.LogOutput)
	if err != nil {
		return err
	}
	p := &process{config: config, settings: s, level: new(slog.LevelVar)}
	p.level.Set(telemetry.ParseLevel(s.GetLog().GetLevel()))
	metrics := telemetry.NewMetrics()
	defer metrics.Close()
	logWriter := telemetry.NewAsyncWriter(logOutput, metrics.Scope.Counter("log_lines_lost"))
	defer logWriter.Close()
	log := telemetry.NewLogger(logWriter, p.level, metrics.Scope.Counter("log_lines_left_out"))
	instance, domain := s.GetInstance().GetName(), s.GetInstance().GetDomain()
	p.log = log.With("instance", instance, "domain", domain)
	slog.SetDefault(p.log) // libraries log to the same destination
	telemetry.RedirectStandardLog(p.log)
	traces, err := telemetry.NewTraces(s.GetTrace(), os.Stdout, instance, domain)
	if err != nil {
		return err
	}
	n, err := node.NewWithPlatform(config.Platform, s, telemetry.Sinks{
		Log: log, Scope: metrics.Scope, Metrics: metrics.Handler(), Tracer: traces.Tracer,
	})
	if err != nil {
		return err
	}
	work, endWork := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		metrics.LogWork(work, p.log, telemetry.WorkInterval)
	}()
	err = p.run(n)
	endWork()
	<-logged
	ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
	defer cancel()
	if closeErr := traces.Close(ctx); closeErr != nil {
		p.log.Warn("spans lost", "error", closeErr.Error())
	}
	return err
}

// run serves until a signal stops the node or the node fails. SIGHUP reloads the
// settings.
func (p *process) run(n *node.Node) error {
	stop, reload := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	n.Start()
	for {
		select {
		case <-reload:
			p.reload()
		case <-stop:
			return p.shutdown(n, stop)
		case <-n.Dead():
			return errors.New("node stopped unexpectedly")
		}
	}
}

// reload applies those settings that may change while the node runs, and logs the
// keys of the others that have changed. A file with findings changes nothing.
func (p *process) reload() {
	next, findings := p.config.LoadSettings(p.config.SettingsPath)
	if len(findings) > 0 {
		p.log.Error("settings not reloaded", "findings", findings.Error())
		return
	}
	var applied, needRestart []string
	for _, d := range settings.Compare(p.settings, next) {
		if d.Reloadable {
			applied = append(applied, d.Key)
		} else {
			needRestart = append(needRestart, d.Key)
		}
	}
	p.level.Set(telemetry.ParseLevel(next.GetLog().GetLevel()))
	p.settings.Log.Level = next.GetLog().GetLevel()
	p.log.Log(context.Background(), max(p.level.Level(), slog.LevelInfo), "settings reloaded", "taken", applied, "restart", needRestart)
}

// shutdown drains and stops the node within calls.drain. A second signal cuts the
// calls still in progress.
func (p *process) shutdown(n *node.Node, stop <-chan os.Signal) error {
	timeout := time.Duration(p.settings.GetCalls().GetDrain()) * time.Millisecond
	p.log.Info("stopping", "bound", timeout.String())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	err := n.Stop(ctx)
	p.log.Info("stopped")
	return errors.Wrap(err, "calls were cut")
}

func openLog(path string, fallback io.Writer) (io.Writer, error) {
	if path == "" {
		return fallback, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "open log.file")
}
