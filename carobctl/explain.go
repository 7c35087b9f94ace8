package main

// This file implements explain, which reconstructs the outcome of one call and
// the state changes that led to it from the log files of nodes.

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/telemetry"
)

const explainHelp = `Reads log files of nodes, or standard input, and prints the log lines of one
call, the state changes that the nodes involved logged around it, and the
conclusions from both. It connects to no node.

$ carobctl explain 548bf2009646c1bc /var/log/caroblift/*.log
$ carobctl explain 548bf2009646c1bc --before 30s < all.log
$ carobctl explain --summary /var/log/caroblift/*.log

With --summary it prints, instead of one call, how many calls of each route were
refused, lost, slow or given up, for which reason, and the mean ms in each stage.

It exits with 3 if no line contains the call ID: the call succeeded within its
objective, its lines were omitted (look for "repeated" and "log lines lost"), or
the logs of its nodes are not among the files.`

type explainCommand struct {
	app     *app
	Before  time.Duration `long:"before" default:"10s" description:"how long before the call to look for state changes"`
	Summary bool          `long:"summary" description:"sum up all calls that were not answered in time; there is no ID"`
	Args    struct {
		ID    string   `positional-arg-name:"ID"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints the explanation of the call, or the summary of all.
func (c *explainCommand) Execute([]string) error {
	files := c.Args.Files
	switch {
	case c.Summary && c.Args.ID != "":
		files = append([]string{c.Args.ID}, files...)
	case !c.Summary && c.Args.ID == "":
		return exitf(exitUsage, "name the ID of a call, or use --summary")
	}
	lines, err := c.app.readLogs(files)
	if err != nil {
		return exitf(exitUsage, "%s", err)
	}
	if c.Summary {
		losses := newSummary(lines)
		if c.app.JSON {
			return json.NewEncoder(c.app.out).Encode(losses)
		}
		return printSummary(c.app.out, losses)
	}
	e := newExplanation(c.Args.ID, lines, c.Before)
	if len(e.Calls) == 0 {
		return exitf(exitRefused, "no line names call %s in %d lines", c.Args.ID, len(lines))
	}
	if c.app.JSON {
		return json.NewEncoder(c.app.out).Encode(e)
	}
	e.print(c.app.out)
	return nil
}

// readLogs returns the log lines of files, or of standard input if none is given.
func (a *app) readLogs(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(a.in, "standard input")
	}
	var all []logLine
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(f, path)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// logLine is one JSON log line of a node.
type logLine struct {
	Time       time.Time      `json:"time"`
	Message    string         `json:"msg"`
	Instance   string         `json:"instance"`
	Call       string         `json:"call,omitempty"`
	Calls      []string       `json:"calls,omitempty"` // calls that were cut off when the node stopped
	Reason     string         `json:"reason,omitempty"`
	Ran        string         `json:"ran,omitempty"`
	Tried      []string       `json:"tried,omitempty"` // instances that were tried, in order
	Member     string         `json:"member,omitempty"`
	Leaving    bool           `json:"leaving,omitempty"`
	Attributes map[string]any `json:"-"` // every attribute
}

// maxLogLine is the length of the longest accepted line, in bytes.
const maxLogLine = 1 << 20

// readLog returns the lines that contain a JSON log entry. A prefix that a log
// collector added before the JSON object is skipped, and so are all other lines.
// name is used in errors.
func readLog(r io.Reader, name string) ([]logLine, error) {
	var out []logLine
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		start := bytes.IndexByte(in.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		text := in.Bytes()[start:]
		if json.Unmarshal(text, &l) != nil || l.Message == "" || json.Unmarshal(text, &l.Attributes) != nil {
			continue
		}
		out = append(out, l)
	}
	return out, errors.Wrapf(in.Err(), "read %s", name)
}

// String formats a line as time, instance, message and the other attributes
// sorted by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	keys := make([]string, 0, len(l.Attributes))
	for k := range l.Attributes {
		switch k {
		case "time", "level", "msg", "instance", "domain", "call", "part":
		default:
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		text, err := json.Marshal(l.Attributes[k])
		if err != nil {
			continue // cannot happen: the value was decoded from JSON
		}
		fmt.Fprintf(&b, " %s=%s", k, text)
	}
	return b.String()
}

// explanation is what the logs show about one call.
type explanation struct {
	Calls   []logLine `json:"calls"`   // lines that contain the call ID, sorted by time
	Changes []logLine `json:"beliefs"` // state changes of the nodes involved around the call, sorted by time
	Causes  []string  `json:"causes"`  // conclusions from both
}

// trailingWindow is how long after the last line of a call state changes still
// count as related: a killed node is declared lost only some seconds later.
const trailingWindow = 3 * time.Second

// changeMessages are the log messages that report a change in a node's own state
// or in its view of the fleet.
var changeMessages = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "drained": true, "readiness": true, "calls were cut": true,
	"backend server": true, "backend server ended": true, "backend server lost": true, "backend server checked": true, "announcement refused": true,
	"server limit": true, "server limit not readable": true, "backend server says that it leaves": true,
	"member found": true, "member changed": true, "member lost": true, "instance ejected": true,
	"called service short": true, telemetry.ServerPaced: true,
	"table in force": true, "configuration refused": true, "store lost": true, "store answers": true,
}

// newExplanation selects the lines of a call, and the state changes of the nodes
// involved from before its first line until trailingWindow after its last line.
func newExplanation(id string, lines []logLine, before time.Duration) *explanation {
	e := &explanation{}
	nodes := map[string]bool{}
	for _, l := range lines {
		if l.Call != id && !slices.Contains(l.Calls, id) {
			continue
		}
		e.Calls = append(e.Calls, l)
		nodes[l.Instance] = true
		for _, tried := range l.Tried {
			nodes[tried] = true
		}
	}
	if len(e.Calls) == 0 {
		return e
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Calls, byTime)
	from, to := e.Calls[0].Time.Add(-before), e.Calls[len(e.Calls)-1].Time.Add(trailingWindow)
	for _, l := range lines {
		relevant := nodes[l.Instance] && (l.Member == "" || nodes[l.Member])
		if changeMessages[l.Message] && relevant && !l.Time.Before(from) && !l.Time.After(to) {
			e.Changes = append(e.Changes, l)
		}
	}
	slices.SortStableFunc(e.Changes, byTime)
	e.Causes = e.causes(lines, from, to)
	return e
}

// print writes the explanation as text.
func (e *explanation) print(w io.Writer) {
	for _, part := range []struct {
		title string
		lines []logLine
	}{{"log lines of the call", e.Calls}, {"state changes around the call", e.Changes}} {
		fmt.Fprintf(w, "%s:\n", part.title)
		for _, l := range part.lines {
			fmt.Fprintf(w, "  %s\n", l)
		}
	}
	fmt.Fprintln(w, "conclusions:")
	for _, c := range e.Causes {
		fmt.Fprintf(w, "  - %s\n", c)
	}
}

// lastLine returns the last line of the call that has one of the messages.
func (e *explanation) lastLine(messages ...string) (logLine, bool) {
	for _, l := range slices.Backward(e.Calls) {
		if slices.Contains(messages, l.Message) {
			return l, true
		}
	}
	return logLine{}, false
}

// intAttr returns a numeric attribute of the line truncated to an integer, or 0 if
// it is absent.
func (l logLine) intAttr(key string) int {
	v, _ := l.Attributes[key].(float64)
	return int(v)
}

// joinNames sorts names in place and joins the distinct ones with commas.
func joinNames(names []string) string {
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(slices.Compact(names), ", ")
}
