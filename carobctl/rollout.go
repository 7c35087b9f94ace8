package main

// This file prints the services that move to another version.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"caroblift.dev/mesh/operator"
)

const rolloutHelp = `Prints the roll-outs of services that the node knows: phase, share of the calls, and the
reason of the phase. Counts and the verdict are known to the leader only, which is named.

$ carobctl --node 10.0.0.1:9100 rollout
$ carobctl --node 10.0.0.1:9100 rollout --json`

type rolloutCommand struct {
	app  *app
	JSON bool `long:"json" description:"print one JSON object for each roll-out"`
}

// Execute prints the roll-outs.
func (c *rolloutCommand) Execute([]string) error {
	rollouts, err := c.app.rollouts()
	if err != nil {
		return err
	}
	if c.JSON {
		for _, r := range rollouts {
			if err := c.app.printLine(r); err != nil {
				return err
			}
		}
		return nil
	}
	return printRollouts(c.app.out, rollouts)
}

// rollouts reads the roll-outs that the node knows.
func (a *app) rollouts() ([]operator.Rollout, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Node+"/rollout", http.NoBody)
	if err != nil {
		return nil, exitf(exitUsage, "node %s: %s", a.Node, err)
	}
	resp, err := directClient.Do(req)
	if err != nil {
		return nil, exitf(exitUnavailable, "node %s: %s", a.Node, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	var out []operator.Rollout
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s", resp.Status)
	}
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		return nil, exitf(exitUnavailable, "node %s: %s", a.Node, err)
	}
	return out, nil
}

// printRollouts writes roll-outs as a table.
func printRollouts(out io.Writer, rollouts []operator.Rollout) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "service\tversion\tphase\telapsed, s\tlimit, s\tshare\tcalls\tof\tleader\treason")
	for _, r := range rollouts {
		phase := r.Phase
		if r.Halted {
			phase += " (halted)"
		}
		calls, total := "-", "-"
		if r.Total > 0 {
			calls, total = fmt.Sprint(r.Calls), fmt.Sprint(r.Total)
		}
		reason := r.Reason
		if len(r.Canaries) > 0 && r.Phase == "canary" {
			reason += " (at " + strings.Join(r.Canaries, ", ") + ")"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.1f\t%.0f%%\t%s\t%s\t%s\t%s\n", r.Service, r.Version, phase, r.ElapsedS, r.LimitS, 100*r.Share, calls, total, r.Leader, reason)
	}
	return table.Flush()
}
