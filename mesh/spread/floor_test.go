package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// TestPlatformHeadKeepsServing guards against a reader that stops serving its
// table when it learns of a newer revision on the platform, before that one is
// applied. A starting reader serves nothing below the platform's head.
func TestPlatformHeadKeepsServing(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := member.New(member.Config{Heartbeat: time.Second, SuspicionTimeout: time.Second}, &wire.Member{Name: "a", State: wire.State_STATE_ALIVE}, now)
	holder := &revision.Holder{}
	s := New(Config{Holder: holder, ExchangeInterval: time.Second, HeartbeatInterval: time.Second}, agent.View(), now)
	require.True(t, s.HandlePlatformRevision(1, now))
	require.False(t, holder.Ready())
	rev, err := revision.Next(holder.Table(), revision.Result{}, "change", "a", 1)
	require.NoError(t, err)
	require.NoError(t, holder.Apply(&wire.Update{Revisions: []*wire.Revision{rev}}))
	require.True(t, holder.Ready())

	require.True(t, s.HandlePlatformRevision(2, now))
	require.True(t, holder.Ready(), "the table in force is served until the next one is applied")
}
