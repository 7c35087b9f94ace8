package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWork checks that the work of nodes is summed up by kind, over the time that each of
// them logged.
func TestWork(t *testing.T) {
	log := strings.Join([]string{
		`{"msg":"work","instance":"a","interval":10000,"counts":{"member_beat":100,"process.cpu_ms":300}}`,
		`{"msg":"work","instance":"a","interval":5000,"counts":{"member_beat":50}}`,
		`{"msg":"started","instance":"c"}`,
		`{"msg":"work","instance":"b","interval":5000,"counts":{"member_beat":25,"member_join":"x"}}`,
	}, "\n")
	report := newWorkReport(mustReadLog(t, log))
	require.Equal(t, workReport{Nodes: 2, Seconds: 20, Kinds: []workKind{
		{Name: "member_beat", Mean: 8.75, Most: 10, Total: 175},
		{Name: "process.cpu_ms", Mean: 15, Most: 20, Total: 300},
	}}, report)
	var out, errOut bytes.Buffer
	require.Equal(t, 0, run([]string{"work"}, strings.NewReader(log), &out, &errOut))
	require.Contains(t, out.String(), "2 nodes, 20 s in all")
	require.Contains(t, out.String(), "member_beat")
	require.Equal(t, exitRefused, run([]string{"work"}, strings.NewReader(`{"msg":"started"}`), &out, &errOut))
}

func mustReadLog(t *testing.T, text string) []logLine {
	lines, err := readLog(strings.NewReader(text), "test")
	require.NoError(t, err)
	return lines
}
