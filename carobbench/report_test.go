package main

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lastLines holds a last line as printed by each kind of run.
var lastLines = map[string]string{
	"demo":     `{"nodes":11,"revision":9,"calls":17416,"errors":0,"doubled":0,"converged":6}`,
	"faults":   `{"nodes":11,"seed":1,"faults":{"kill":3},"changes":9,"calls":10,"errors":0,"doubled":0,"untrue":0,"wrong":0,"backward":0,"dangling":0,"settled":900}`,
	"converge": `{"nodes":20,"changes":10,"p50":12,"p99":30,"max":55,"bytes":900,"idle":1200,"calls":9,"base":{"p50":10,"p99":25,"max":60,"bytes":60000,"idle":0,"calls":25}}`,
	"call":     `{"direct":{"p50":1,"p99":2,"p999":4},"proxied":{"p50":1.3,"p99":2.5,"p999":6},"added":0.5,"rate":3000,"errors":0,"doubled":0,"policies":{"random":{"p99":20,"p999":40,"goodput":0.8}}}`,
	"hold":     `{"servers":7000,"services":190,"rss":50,"core":2,"bytes":15000,"slopes":{"rss":1,"bytes":2,"core":3}}`,
	"herd":     `{"nodes":200,"whole":4000,"peak":300,"bytes":80000}`,
}

func TestParseRun(t *testing.T) {
	for kind, line := range lastLines {
		t.Run(kind, func(t *testing.T) {
			r, err := parseRun([]byte(line))
			require.NoError(t, err)
			require.Equal(t, kind, r.Kind)
		})
	}
	for name, line := range map[string]string{"text": "done", "list": "[]", "other": `{"a":1}`, "empty": "", "wrong type": strings.Replace(lastLines["herd"], "4000", `"x"`, 1)} {
		t.Run(name, func(t *testing.T) {
			_, err := parseRun([]byte(line))
			require.Error(t, err)
		})
	}
}

// TestReport writes the page for one run of each kind. It guards against
// references to other files or hosts, malformed SVG and unescaped file names.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	c := &reportCommand{Out: filepath.Join(dir, "report.html")}
	for kind, line := range lastLines {
		path := filepath.Join(dir, kind+"<b>.txt")
		require.NoError(t, os.WriteFile(path, []byte("some text\n"+line+"\n\n"), 0o600))
		c.Args.Files = append(c.Args.Files, path)
	}
	require.NoError(t, c.Execute(nil))
	page, err := os.ReadFile(c.Out)
	require.NoError(t, err)
	plots := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAll(page, -1)
	require.Len(t, plots, 8)
	for _, plot := range plots {
		requireWellFormed(t, plot)
	}
	withoutNamespaces := regexp.MustCompile(`xmlns(:xlink)?="[^"]*"`).ReplaceAll(page, nil)
	require.NotRegexp(t, `https?://|<script|<link|<img|\bsrc=|href=|@import|url\(`, string(withoutNamespaces))
	require.NotContains(t, string(page), "<b>")
	for _, want := range []string{"Convergence time", "Control bytes", "Added latency", "Policies", "<td>demo, 11 nodes</td><td>6</td>", "<td>random</td><td>20</td><td>40</td>", "<td>random</td><td>0.8</td>"} {
		require.Contains(t, string(page), want)
	}
}

// requireWellFormed checks that plot is well-formed XML and contains several
// paths.
func requireWellFormed(t *testing.T, plot []byte) {
	dec := xml.NewDecoder(bytes.NewReader(plot))
	paths := 0
	for {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "path" {
			paths++
		}
	}
	require.Greater(t, paths, 3)
}

func TestReportNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.txt")
	require.NoError(t, os.WriteFile(path, []byte("guarantee violated\n"), 0o600))
	c := &reportCommand{Out: filepath.Join(t.TempDir(), "report.html")}
	c.Args.Files = []string{path}
	require.ErrorContains(t, c.Execute(nil), path+": last line: is no JSON object")
	require.NoFileExists(t, c.Out)
}
