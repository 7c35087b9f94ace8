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

// TestSlotTime checks that slot time is summed up by service and use, and that the idle
// part counts as wanted only beside refused calls.
func TestSlotTime(t *testing.T) {
	log := strings.Join([]string{
		`{"time":"2026-01-01T00:00:11Z","msg":"work","instance":"a","counts":{"node_slot_ms.quotes.intime":3000,"node_slot_ms.quotes.idle":1000,"caller_unserved.stock.v2":2}}`,
		`{"time":"2026-01-01T00:00:12Z","msg":"work","instance":"b","counts":{"node_slot_ms.stock.v2.late":2000,"node_slot_ms.stock.v2.vain":500,"node_slot_ms.stock.v2.idle":4000}}`,
		`{"time":"2026-01-01T00:00:22Z","msg":"work","instance":"b","counts":{"node_slot_ms.stock.v2.idle":7000}}`,
	}, "\n")
	require.Equal(t, []slotUse{
		{Service: "quotes", InTime: 3, Idle: 1},
		{Service: "stock.v2", Late: 2, Vain: 0.5, Idle: 11, IdleWanted: 4, Unserved: 2},
	}, newSlotReport(mustReadLog(t, log)))
}

func mustReadLog(t *testing.T, text string) []logLine {
	lines, err := readLog(strings.NewReader(text), "test")
	require.NoError(t, err)
	return lines
}
