// Package telemetry sets up logs, metrics and traces.
//
// # Usage
//
//	log := telemetry.Log(os.Stderr, "info")
package telemetry

import (
	"io"
	"log/slog"
)

// Log returns a logger that writes JSON lines from a level up.
func Log(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}
