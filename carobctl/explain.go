package main

// This file defines explain, which reads log files of nodes and tells what
// became of one call and what the nodes believed that decided it.

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
)

const explainHelp = `Reads the log files of nodes, or standard input, and prints the lines of one
call, the lines by which the nodes concerned changed what they believe around
it, and what follows from both. It asks no node.

$ carobctl explain 548bf2009646c1bc /var/log/caroblift/*.log
$ carobctl explain 548bf2009646c1bc --before 30s < all.log

It exits with 3 when no line names the call: it was answered well within its
objective, its lines were left out (look for "repeated" and "log lines lost"),
or the logs of its nodes are not among the files.`

type explainCommand struct {
	app    *app
	Before time.Duration `long:"before" default:"10s" description:"how long before the call to look for changes"`
	Args   struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute prints the story of the call.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return exitf(exitUsage, "%s", err)
	}
	s := newStory(c.Args.ID, lines, c.Before)
	if len(s.Calls) == 0 {
		return exitf(exitRefused, "no line names call %s in %d lines", c.Args.ID, len(lines))
	}
	if c.app.JSON {
		return json.NewEncoder(c.app.out).Encode(s)
	}
	s.print(c.app.out)
	return nil
}

// read returns the log lines of all files.
func (c *explainCommand) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLog(c.app.in, "standard input")
	}
	var all []logLine
	for _, path := range c.Args.Files {
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

// logLine is one line that a node wrote.
type logLine struct {
	Time     time.Time      `json:"time"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Call     string         `json:"call,omitempty"`
	Calls    []string       `json:"calls,omitempty"` // that were cut by a stop
	Reason   string         `json:"reason,omitempty"`
	Ran      string         `json:"ran,omitempty"`
	Tried    []string       `json:"tried,omitempty"` // instances, in turn
	Member   string         `json:"member,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
	All      map[string]any `json:"-"` // every attribute
}

// maxLogLine bounds one line, in bytes.
const maxLogLine = 1 << 20

// readLog returns the lines of a log that are JSON objects of a node. What a
// collector put before the object of a line is skipped, and so are other lines.
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
		if json.Unmarshal(text, &l) != nil || l.Message == "" || json.Unmarshal(text, &l.All) != nil {
			continue
		}
		out = append(out, l)
	}
	return out, errors.Wrapf(in.Err(), "read %s", name)
}

// String formats a line for people: when, where, what, and the other attributes
// by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	keys := make([]string, 0, len(l.All))
	for k := range l.All {
		switch k {
		case "time", "level", "msg", "instance", "domain", "call", "part":
		default:
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		text, err := json.Marshal(l.All[k])
		if err != nil {
			continue // what was decoded from JSON is encoded again
		}
		fmt.Fprintf(&b, " %s=%s", k, text)
	}
	return b.String()
}

// story is what logs tell about one call.
type story struct {
	Calls   []logLine `json:"calls"`   // that name the call, by time
	Beliefs []logLine `json:"beliefs"` // changes around it at the nodes concerned, by time
	Causes  []string  `json:"causes"`  // what follows
}

// afterCall is how long after a call's last line changes still concern it: a
// member counts as lost some seconds after its node was killed.
const afterCall = 3 * time.Second

// beliefs are the messages of lines that change what a node believes.
var beliefs = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "drained": true, "readiness": true, "calls were cut": true,
	"backend server": true, "backend server lost": true, "backend server checked": true, "announcement refused": true,
	"member found": true, "member changed": true, "member lost": true, "instance ejected": true,
	"table in force": true, "configuration refused": true, "store lost": true, "store answers": true,
}

// newStory selects what concerns a call.
func newStory(id string, lines []logLine, before time.Duration) *story {
	s := &story{}
	nodes := map[string]bool{}
	for _, l := range lines {
		if l.Call != id && !slices.Contains(l.Calls, id) {
			continue
		}
		s.Calls = append(s.Calls, l)
		nodes[l.Instance] = true
		for _, tried := range l.Tried {
			nodes[tried] = true
		}
	}
	if len(s.Calls) == 0 {
		return s
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Calls, byTime)
	from, to := s.Calls[0].Time.Add(-before), s.Calls[len(s.Calls)-1].Time.Add(afterCall)
	for _, l := range lines {
		concerned := nodes[l.Instance] && (l.Member == "" || nodes[l.Member])
		if beliefs[l.Message] && concerned && !l.Time.Before(from) && !l.Time.After(to) {
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	slices.SortStableFunc(s.Beliefs, byTime)
	s.Causes = s.causes(lines, from, to)
	return s
}

// print writes the story for people.
func (s *story) print(w io.Writer) {
	for _, part := range []struct {
		title string
		lines []logLine
	}{{"the call", s.Calls}, {"changes around it", s.Beliefs}} {
		fmt.Fprintf(w, "%s:\n", part.title)
		for _, l := range part.lines {
			fmt.Fprintf(w, "  %s\n", l)
		}
	}
	fmt.Fprintln(w, "what follows:")
	for _, c := range s.Causes {
		fmt.Fprintf(w, "  - %s\n", c)
	}
}

// last returns the last line of the call with one of some messages.
func (s *story) last(messages ...string) (logLine, bool) {
	for _, l := range slices.Backward(s.Calls) {
		if slices.Contains(messages, l.Message) {
			return l, true
		}
	}
	return logLine{}, false
}

// whole returns a whole number of a line, or zero.
func (l logLine) whole(key string) int {
	v, _ := l.All[key].(float64)
	return int(v)
}

// quote shortens a list of names.
func quote(names []string) string {
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(slices.Compact(names), ", ")
}
