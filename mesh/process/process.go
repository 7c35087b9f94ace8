// Package process runs a node as a process: it takes signals, reloads settings
// and sets up logs, metrics and traces.
//
// # Usage
//
//	err := process.Run(process.Config{Path: "node.ini", Load: settings.Load})
package process

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// traceBound bounds the export of the last spans.
const traceBound = 3 * time.Second

// Config configures a process. Platform may be nil, Out is os.Stderr when nil.
type Config struct {
	Path     string // of the settings
	Load     func(path string) (*wire.Settings, record.Findings)
	Platform *node.Platform
	Out      io.Writer // of log lines where the settings name no file
}

// process is the running node and what its settings may change.
type process struct {
	config   Config
	settings *wire.Settings
	level    *slog.LevelVar
	log      *slog.Logger
}

// Run runs a node with settings that were loaded and checked, until SIGTERM or
// SIGINT.
func Run(config Config, s *wire.Settings) error {
	if config.Out == nil {
		config.Out = os.Stderr
	}
	out, err := logFile(s.GetLog().GetFile(), config.Out)
	if err != nil {
		return err
	}
	p := &process{config: config, settings: s, level: new(slog.LevelVar)}
	p.level.Set(telemetry.ParseLevel(s.GetLog().GetLevel()))
	metrics := telemetry.NewMetrics()
	defer metrics.Close()
	queue := telemetry.NewQueue(out, metrics.Scope.Counter("log_lines_lost"))
	defer queue.Close()
	log := telemetry.Log(queue, p.level, metrics.Scope.Counter("log_lines_left_out"))
	instance, domain := s.GetInstance().GetName(), s.GetInstance().GetDomain()
	p.log = log.With("instance", instance, "domain", domain)
	slog.SetDefault(p.log) // what libraries print goes the same way
	traces, err := telemetry.NewTraces(s.GetTrace(), os.Stdout, instance, domain)
	if err != nil {
		return err
	}
	n, err := node.On(config.Platform, s, telemetry.Sinks{
		Log: log, Scope: metrics.Scope, Metrics: metrics.Handler(), Tracer: traces.Tracer,
	})
	if err != nil {
		return err
	}
	err = p.run(n)
	ctx, cancel := context.WithTimeout(context.Background(), traceBound)
	defer cancel()
	if closeErr := traces.Close(ctx); closeErr != nil {
		p.log.Warn("spans lost", "error", closeErr.Error())
	}
	return err
}

// run serves until a signal stops the node, and reloads at SIGHUP.
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
			return errors.New("node stopped by itself")
		}
	}
}

// reload takes the settings that may change while the node runs. A file with
// mistakes changes nothing.
func (p *process) reload() {
	next, findings := p.config.Load(p.config.Path)
	if len(findings) > 0 {
		p.log.Error("settings not reloaded", "findings", findings.Error())
		return
	}
	var taken, left []string
	for _, d := range settings.Compare(p.settings, next) {
		if d.Reload {
			taken = append(taken, d.Key)
		} else {
			left = append(left, d.Key)
		}
	}
	p.level.Set(telemetry.ParseLevel(next.GetLog().GetLevel()))
	p.settings.Log.Level = next.GetLog().GetLevel()
	p.log.Log(context.Background(), max(p.level.Level(), slog.LevelInfo), "settings reloaded", "taken", taken, "restart", left)
}

// shutdown drains the node; a second signal ends the wait.
func (p *process) shutdown(n *node.Node, stop <-chan os.Signal) error {
	bound := time.Duration(p.settings.GetCalls().GetDrain()) * time.Millisecond
	p.log.Info("stopping", "bound", bound.String())
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	err := n.Stop(ctx)
	p.log.Info("stopped")
	return errors.Wrap(err, "calls were cut")
}

func logFile(path string, standard io.Writer) (io.Writer, error) {
	if path == "" {
		return standard, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "log.file")
}
