package process

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/settings"
	"caroblift.dev/mesh/telemetry"
)

const node1 = "../../carobbench/examples/node1.ini"

// TestReload checks that a reload applies the log level, reports the keys that need
// a restart, and changes nothing if the file has mistakes.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	text, err := os.ReadFile(node1)
	require.NoError(t, err)
	write := func(more string) { require.NoError(t, os.WriteFile(path, append(text, more...), 0o600)) }
	write("")
	s, findings := settings.Load(path)
	require.NoError(t, findings.Err())
	var out bytes.Buffer
	p := &process{config: Config{SettingsPath: path, LoadSettings: settings.Load}, settings: s, level: new(slog.LevelVar)}
	p.log = telemetry.NewLogger(&out, p.level, nil)

	write("[log]\nlevel = debug\n[calls]\ndrain = 5000\n")
	p.reload()
	require.Equal(t, slog.LevelDebug, p.level.Level())
	require.Contains(t, out.String(), `"taken":["log.level"],"restart":["calls.drain"]`)

	write("[log]\nlevel = loud\n")
	p.reload()
	require.Equal(t, slog.LevelDebug, p.level.Level())
	require.Contains(t, out.String(), "settings not reloaded")

	write("[log]\nlevel = error\n")
	p.reload()
	require.Equal(t, slog.LevelError, p.level.Level())
}
