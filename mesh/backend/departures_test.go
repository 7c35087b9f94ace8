package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// keeper is a Departures that outlives announcers.
type keeper struct {
	name  string
	epoch uint64
	met   bool
	kept  chan struct{}
}

func (k *keeper) RecordDeparture(server string, epoch uint64) <-chan struct{} {
	k.name, k.epoch = server, epoch
	return k.kept
}
func (k *keeper) LastDeparture() (string, uint64) { return k.name, k.epoch }
func (k *keeper) Met() bool                       { return k.met }

// closedChan returns a channel that is closed.
func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// restartable is an announcer whose node can be restarted.
type restartable struct {
	*Announcer
	keeper  *keeper
	health  Health
	inForce *Announcement
}

func (r *restartable) restart() {
	r.inForce = nil
	r.Announcer = NewAnnouncer(AnnouncerConfig{
		Lease: time.Minute, OnChange: func(in *Announcement) { r.inForce = in }, Departures: r.keeper,
		CheckHealth: func(context.Context, *Announcement) Health { return r.health },
	})
}

func (r *restartable) announce(t *testing.T, in Announcement) {
	in.Service, in.Address, in.Slots = "quotes", "127.0.0.1:9", 6
	_, err := r.Submit(&in)
	require.NoError(t, err)
	synctest.Wait()
}

// TestConfirmedLeavingOutlivesTheNode guards against calls to a server whose leaving an earlier process of its node confirmed.
func TestConfirmedLeavingOutlivesTheNode(t *testing.T) {
	for name, confirm := range map[string]func(r *restartable){
		"deregistered":           func(r *restartable) { r.EndIncarnation("a", 5) },
		"deregistered, no epoch": func(r *restartable) { r.EndIncarnation("a", 0) },
		"draining": func(r *restartable) {
			_, _ = r.Submit(&Announcement{Service: "quotes", Address: "127.0.0.1:9", Slots: 6, Name: "a", Epoch: 5, Seq: 9, Leaving: true})
		},
		"stated in an answer":       func(r *restartable) { r.RecordLeaving("a", 5) },
		"confirmed after a restart": func(r *restartable) { r.restart(); r.EndIncarnation("a", 5) },
	} {
		for _, health := range []Health{HealthUnclear, Healthy, Unhealthy, OtherIncarnation, HealthLeaving} {
			t.Run(name+", "+health.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &restartable{keeper: &keeper{met: true, kept: closedChan()}, health: Healthy}
					r.restart()
					r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: 1})
					require.False(t, r.inForce.Leaving)
					confirm(r)
					r.health = health
					for range 2 {
						r.restart()
						for seq := range uint64(8) {
							r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: seq + 1})
							require.True(t, r.inForce == nil || r.inForce.Leaving, "announcement %d", seq+1)
						}
					}
					time.Sleep(maxHealthTries * (healthRetryDelay + healthTimeout))
					require.True(t, r.inForce == nil || r.inForce.Leaving)
					r.health = Healthy
					r.announce(t, Announcement{Name: "a", Epoch: 6, Seq: 1})
					require.False(t, r.inForce.Leaving)
				})
			})
		}
	}
}

// TestUnknownIncarnationThatLeft guards against counting announcements of a server that stated its leaving before it announced itself.
func TestUnknownIncarnationThatLeft(t *testing.T) {
	for name, health := range map[string]Health{"checks refused": HealthUnclear, "restarted": Healthy} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restartable{keeper: &keeper{met: true, kept: closedChan()}, health: health}
				r.restart()
				r.applyDiscovered(&Announcement{Name: "a", Service: "quotes", Address: "127.0.0.1:9", Slots: 6, found: true})
				r.RecordLeaving("a", 0)
				require.True(t, r.inForce.Leaving)
				r.restart()
				for seq := range uint64(6) {
					r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: seq + 1})
				}
				require.Equal(t, health == Healthy, r.inForce != nil)
				time.Sleep(maxHealthTries * (healthRetryDelay + healthTimeout))
			})
		})
	}
}

// TestDepartureLearnedLate guards against keeping a server in force whose leaving a starting node learns of later.
func TestDepartureLearnedLate(t *testing.T) {
	r := &restartable{keeper: &keeper{}, health: Healthy}
	synctest.Test(t, func(t *testing.T) {
		r.restart()
		r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: 1})
		require.False(t, r.inForce.Leaving)
		r.keeper.name, r.keeper.epoch, r.keeper.met = "a", 5, true
		r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: 2})
		require.True(t, r.inForce.Leaving)
	})
}

// TestAnnouncementsOfALoneNodeAreNotCounted guards against counting announcements before others could tell that the server has left.
func TestAnnouncementsOfALoneNodeAreNotCounted(t *testing.T) {
	for name, meets := range map[string]bool{"meets others": true, "stays alone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restartable{keeper: &keeper{}}
				r.restart()
				began := time.Now()
				seq := uint64(0)
				announce := func() {
					seq++
					r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: seq})
					time.Sleep(time.Second)
				}
				for range 5 {
					announce()
					require.Nil(t, r.inForce)
				}
				r.keeper.met = meets
				announce()
				require.Equal(t, meets, r.inForce != nil)
				for r.inForce == nil {
					announce()
				}
				require.LessOrEqual(t, time.Since(began), loneConfirmTime+2*time.Second)
				time.Sleep(maxHealthTries * (healthRetryDelay + healthTimeout))
			})
		})
	}
}

// TestLeavingIsAcknowledgedOnceItIsKept guards against a leaving that is acknowledged before it is kept elsewhere, or too late.
func TestLeavingIsAcknowledgedOnceItIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		keptAfter, want time.Duration
	}{
		"kept at once":   {0, 0},
		"kept soon":      {200 * time.Millisecond, 200 * time.Millisecond},
		"no other node":  {time.Hour, keepTimeout},
		"kept too late":  {keepTimeout + time.Millisecond, keepTimeout},
		"kept just soon": {keepTimeout - time.Millisecond, keepTimeout - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restartable{keeper: &keeper{met: true, kept: make(chan struct{})}, health: Healthy}
				r.restart()
				r.announce(t, Announcement{Name: "a", Epoch: 5, Seq: 1})
				time.AfterFunc(c.keptAfter, func() { close(r.keeper.kept) })
				began := time.Now()
				r.EndIncarnation("a", 5)
				require.Equal(t, c.want, time.Since(began))
				require.True(t, r.inForce.Leaving)
			})
		})
	}
}
