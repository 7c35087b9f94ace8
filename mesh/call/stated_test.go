package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/call"
)

// TestStatedFormat checks that what was stated is parsed as formatted, and nothing else.
func TestStatedFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := call.Stated{
			Server: rapid.StringMatching(`[a-z0-9/.-]+`).Draw(t, "server"), Epoch: rapid.Uint64().Draw(t, "epoch"), Leaving: rapid.Bool().Draw(t, "leaving"),
		}
		if rapid.Bool().Draw(t, "named") {
			s.Limit = call.NamedLimit{Rate: rapid.Float64Range(0, 1e300).Draw(t, "limit"), Named: true}
		}
		if s.Format() == "" {
			require.False(t, s.Leaving || s.Limit.Named)
			return
		}
		require.Equal(t, s, call.ParseStated(s.Format()))
	})
	for _, text := range []string{"", "1", "1/2/-", "x/2/-/s", "1/x/-/s", "1/NaN/-/s", "1/-2/-/s", "-1/2/-/s"} {
		require.Zero(t, call.ParseStated(text), "%q", text)
	}
}

// TestMemory checks which answers an entry node remembers and which end a memory.
func TestMemory(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	limit := call.Stated{Server: "a", Epoch: 1, Limit: call.NamedLimit{Rate: 2, Named: true}}
	leaving := call.Stated{Server: "a", Epoch: 1, Leaving: true}
	next := call.Stated{Server: "a", Epoch: 2, Limit: call.NamedLimit{Rate: 5, Named: true}}
	type answer struct {
		stated     call.Stated
		served     bool
		sent, read int
	}
	for name, c := range map[string]struct {
		answers []answer
		want    call.Stated
	}{
		"nothing":                           {[]answer{{call.Stated{}, true, 1, 2}}, call.Stated{}},
		"limit":                             {[]answer{{limit, true, 1, 2}}, limit},
		"limit with a refusal":              {[]answer{{limit, false, 1, 2}}, limit},
		"ended":                             {[]answer{{limit, true, 1, 2}, {call.Stated{}, true, 3, 4}}, call.Stated{}},
		"refused by a gate without memory":  {[]answer{{limit, true, 1, 2}, {call.Stated{}, false, 3, 4}}, limit},
		"older answer of the server":        {[]answer{{limit, true, 2, 3}, {call.Stated{}, true, 1, 4}}, limit},
		"leaving":                           {[]answer{{limit, true, 1, 2}, {leaving, true, 3, 4}}, leaving},
		"limit from before the leaving":     {[]answer{{leaving, true, 1, 2}, {limit, true, 1, 4}}, leaving},
		"next incarnation":                  {[]answer{{leaving, true, 1, 2}, {next, true, 3, 4}}, next},
		"next incarnation, nothing stated":  {[]answer{{leaving, true, 1, 2}, {call.Stated{}, true, 3, 4}}, call.Stated{}},
		"leaving, refused as no more there": {[]answer{{leaving, true, 1, 2}, {call.Stated{}, false, 3, 4}}, leaving},
	} {
		t.Run(name, func(t *testing.T) {
			var m call.Memory
			for _, a := range c.answers {
				m.Record(a.stated, a.served, at(a.sent), at(a.read))
			}
			require.Equal(t, c.want, m.Stated())
			_, holds := m.Age(at(9))
			require.Equal(t, c.want != call.Stated{}, holds)
		})
	}
}

// TestAdoptedLimitIsReplacedByOwnEvidence checks how long a limit heard from others counts.
func TestAdoptedLimitIsReplacedByOwnEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	two, five := call.NamedLimit{Rate: 2, Named: true}, call.NamedLimit{Rate: 5, Named: true}
	var l call.RateLimit
	require.True(t, l.Adopt(five, "node", now))
	require.False(t, l.Adopt(call.NamedLimit{}, "node", now))
	require.True(t, l.Adopt(two, "node", now))
	require.False(t, l.Adopt(five, "node", now))
	require.Equal(t, two, l.State(now).NamedLimit)
	require.Zero(t, l.State(now).Tokens)
	require.InDelta(t, 1, l.State(now.Add(time.Second/2)).Tokens, 0.01)
	require.False(t, l.Observe(call.NamedLimit{}, "a", now.Add(time.Second), now.Add(2*time.Second)))
	require.True(t, l.Observe(call.NamedLimit{}, "b", now.Add(time.Second), now.Add(2*time.Second)))
	require.False(t, l.Adopt(two, "node", now.Add(3*time.Second)))
	require.False(t, l.State(now).Named)
}
