// Command caroblift is the node that runs beside each backend server.
//
// # Usage
//
//	caroblift --config node.ini
//	caroblift --config node.ini --check
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// options are the command line.
type options struct {
	Config string `long:"config" short:"c" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	s, findings := settings.Load(opts.Config)
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings.Error())
		return exitSettings
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

func serve(s *wire.Settings) error {
	out, err := logFile(s.GetLog().GetFile())
	if err != nil {
		return err
	}
	log := telemetry.Log(out, s.GetLog().GetLevel())
	n, err := node.New(s, telemetry.Sinks{Log: log})
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	n.Start()
	select {
	case <-stop:
	case <-n.Dead():
		return errors.New("node stopped by itself")
	}
	return shutdown(n, log, stop, time.Duration(s.GetCalls().GetDrain())*time.Millisecond)
}

// shutdown drains the node; a second signal ends the wait.
func shutdown(n *node.Node, log *slog.Logger, stop <-chan os.Signal, bound time.Duration) error {
	log.Info("stopping", "bound", bound.String())
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	err := n.Stop(ctx)
	log.Info("stopped")
	return errors.Wrap(err, "calls were cut")
}

func logFile(path string) (io.Writer, error) {
	if path == "" {
		return os.Stderr, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, errors.Wrap(err, "log.file")
}
