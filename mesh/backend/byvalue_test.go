package backend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnnouncementsBySpelling guards against a server that is refused for the way the numbers of its announcement are spelled.
func TestAnnouncementsBySpelling(t *testing.T) {
	for body, want := range map[string]*Announcement{
		`{"slots": 6, "epoch": 7, "seq": 8, "running": 9}`:                        {Slots: 6, Epoch: 7, Seq: 8, RunningMS: 9},
		`{"slots": 6.0, "epoch": 7e0, "seq": 9007199254740993.0, "running": 9.5}`: {Slots: 6, Epoch: 7, Seq: 9007199254740993, RunningMS: 9},
		`{"slots": 2.5, "name": "a", "leaving": true}`:                            {Slots: 2, Name: "a", Leaving: true},
		`{"slots": -6, "running": -1e-9}`:                                         {Slots: 0, RunningMS: -1},
		`{"slots": 1e999999999}`:                                                  {Slots: maxSlots + 1},
	} {
		got, err := decodeAnnouncement(strings.NewReader(body))
		require.NoError(t, err, body)
		require.Equal(t, want, got, body)
	}
	for _, body := range []string{`{"seq": 1.5}`, `{"seq": -1}`, `{"epoch": 18446744073709551616}`, `{"slots": "6"}`, `{"slots": true}`, `[]`, ``} {
		_, err := decodeAnnouncement(strings.NewReader(body))
		require.Error(t, err, body)
	}
}
