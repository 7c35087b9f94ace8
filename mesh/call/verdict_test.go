package call_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
)

// anyReason draws a reason that the package declares, or a word that it does not.
func anyReason(t *rapid.T) call.Reason {
	return rapid.OneOf(
		rapid.SampledFrom([]call.Reason{
			call.ReasonNotReady, call.ReasonNoServer, call.ReasonBusy, call.ReasonOverload, call.ReasonLate, call.ReasonLeaving,
			call.ReasonDial, call.ReasonRefused, call.ReasonBroken, call.ReasonCrossed, call.ReasonDeadline, call.ReasonCanceled,
			call.ReasonShed, call.ReasonMoved,
		}),
		rapid.Map(rapid.StringMatching("[a-z-]{1,12}"), func(s string) call.Reason { return call.Reason(s) }),
	).Draw(t, "reason")
}

// TestStatusPromisesOnlyWhatIsProved guards against a status that promises that a
// call has not run although one of its attempts may have.
func TestStatusPromisesOnlyWhatIsProved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, proved := call.NotRun(anyReason(t), call.ProofNotSent), true
		for range rapid.IntRange(0, 3).Draw(t, "further attempts") {
			switch r := anyReason(t); rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				v, proved = call.MayHaveRun(r).Combine(v), false
			case 1:
				v, proved = call.Answered(r).Combine(v), false
			default:
				v = call.NotRun(r, call.ProofRejected).Combine(v)
			}
		}
		require.Equal(t, proved, v.Outcome() == call.OutcomeNotRun)
		require.Equal(t, proved, v.Proof() != "")
		if call.Promises(v.Status()) {
			require.True(t, proved, "%+v", v)
		}
	})
}

// TestVerdictBetweenNodes checks that a verdict survives the headers of an answer,
// and that a claim without a known proof counts only for what gates refuse unsent.
func TestVerdictBetweenNodes(t *testing.T) {
	for name, c := range map[string]struct {
		reason     call.Reason
		ran, proof string
		want       call.Verdict
	}{
		"proved":                  {call.ReasonShed, "no", "rejected", call.NotRun(call.ReasonShed, call.ProofRejected)},
		"refused unsent":          {call.ReasonBusy, "no", "not-sent", call.NotRun(call.ReasonBusy, call.ProofNotSent)},
		"unknown":                 {call.ReasonBroken, "unknown", "", call.MayHaveRun(call.ReasonBroken)},
		"answered":                {call.ReasonShed, "yes", "", call.Answered(call.ReasonShed)},
		"unknown with a proof":    {call.ReasonBroken, "unknown", "rejected", call.MayHaveRun(call.ReasonBroken)},
		"unknown proof":           {call.ReasonShed, "no", "surely", call.MayHaveRun(call.ReasonShed)},
		"older node, unsent":      {call.ReasonBusy, "no", "", call.NotRun(call.ReasonBusy, call.ProofNotSent)},
		"older node, by a server": {call.ReasonShed, "no", "", call.MayHaveRun(call.ReasonShed)},
		"unknown word":            {call.ReasonShed, "never", "rejected", call.MayHaveRun(call.ReasonShed)},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{call.HeaderReason: {string(c.reason)}, call.HeaderRan: {c.ran}}
			if c.proof != "" {
				h.Set(call.HeaderProof, c.proof)
			}
			got := call.ParseVerdict(h)
			require.Equal(t, c.want, got)
			again := http.Header{}
			got.SetHeaders(again)
			require.Equal(t, got, call.ParseVerdict(again))
		})
	}
}
