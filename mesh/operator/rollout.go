package operator

// This file serves what the node knows of services that move to another version.

import (
	"encoding/json"
	"net/http"
	"time"

	"caroblift.dev/mesh/rollout"
)

// Rollout is the roll-out of one service on the page /rollout, and in the output of carobctl.
type Rollout struct {
	Service  string   `json:"service"`
	Version  string   `json:"version"`
	Phase    string   `json:"phase"`
	Halted   bool     `json:"halted"` // the version is known to be bad, although the phase does not say so yet
	Reason   string   `json:"reason"`
	Leader   string   `json:"leader"` // the node that knows the counts
	Canaries []string `json:"canaries,omitempty"`
	Number   uint64   `json:"number"`
	ElapsedS float64  `json:"elapsedS"` // since the order
	LimitS   float64  `json:"limitS"`   // of the order
	HeardS   float64  `json:"heardS"`   // since the leader confirmed it
	Share    float64  `json:"share"`    // of the calls that entry nodes send to the version
	Rate     float64  `json:"rate"`     // calls a second of the service
	Calls    int      `json:"calls"`    // of the version since the order; known to the leader only
	Total    int      `json:"total"`    // of the service since the order; known to the leader only
	Verdict  string   `json:"verdict"`  // known to the leader only
}

// newRollout returns what the page shows.
func newRollout(p rollout.Progress, now time.Time) Rollout {
	seconds := func(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }
	return Rollout{
		Service: p.Service, Version: p.Version, Phase: p.Phase.String(), Halted: p.Halted, Reason: p.Reason, Leader: p.Leader, Canaries: p.Canaries, Number: p.Number,
		ElapsedS: seconds(now.Sub(p.Ordered)), LimitS: seconds(p.Duration), HeardS: seconds(now.Sub(p.Heard)), Share: p.Share, Rate: p.Rate,
		Calls: p.Calls, Total: p.Total, Verdict: p.Verdict.String(),
	}
}

func (s *Service) serveRollout(w http.ResponseWriter, _ *http.Request) {
	out := []Rollout{}
	if s.config.Rollouts != nil {
		now := time.Now()
		for _, p := range s.config.Rollouts(now) {
			out = append(out, newRollout(p, now))
		}
	}
	data, err := json.Marshal(out)
	writeJSON(w, data, err)
}
