package main

// This file runs the stand-ins for the platform and a backend server as separate
// processes.

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"caroblift.dev/mesh/backendtest"
	"caroblift.dev/mesh/storetest"
)

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"address to serve at"`
	Reads  int    `long:"reads" default:"2000" description:"reads a second"`
	Writes int    `long:"writes" default:"400" description:"writes a second"`
}

// Execute serves the platform until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	store := storetest.New()
	store.Reads = rate.NewLimiter(rate.Limit(c.Reads), c.Reads)
	store.Writes = rate.NewLimiter(rate.Limit(c.Writes), c.Writes)
	server := &http.Server{Addr: c.Listen, Handler: store, ConnContext: store.ConnContext, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Println("platform at", c.Listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "platform")
	}
	return nil
}

type serverCommand struct {
	Service  string        `long:"service" required:"true" description:"service that it belongs to"`
	Name     string        `long:"name" default:"server" description:"name that its answers carry"`
	Listen   string        `long:"listen" default:"127.0.0.1:0" description:"address to serve at"`
	Announce string        `long:"announce" required:"true" description:"URL of the node's announce port"`
	Slots    int           `long:"slots" default:"6" description:"calls in progress"`
	Work     time.Duration `long:"work" default:"5ms" description:"duration of one call"`
}

// Execute serves calls until SIGTERM or SIGINT. Then it announces that the server
// is leaving and waits for the calls in progress.
func (c *serverCommand) Execute([]string) error {
	s := backendtest.New(backendtest.Config{
		Service: c.Service, Name: c.Name, Slots: c.Slots, CallTime: c.Work, Epoch: uint64(time.Now().UnixMilli()),
	})
	addr, err := s.Listen(c.Listen)
	if err != nil {
		return err
	}
	fmt.Println("server at", addr)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s.Announce(ctx, c.Announce)
	s.SetLeaving()
	last, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = s.AnnounceOnce(last, c.Announce)
	for s.InFlight() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	s.Close()
	return nil
}
