package instance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against accepting an invalid announcement: requests would go to an unusable
// address, or a negative load would attract all of them.
func TestValidateErrorNamesField(t *testing.T) {
	validAnnouncement := func() Announcement {
		return Announcement{
			ID: "engine-1", Incarnation: 1, Address: "127.0.0.1:7201", Region: "r1", Zone: "z1",
			State: StateServing, Model: "demo", Slots: 8,
		}
	}
	a := validAnnouncement()
	require.NoError(t, a.Validate())
	cases := map[string]func(*Announcement){
		"id":          func(a *Announcement) { a.ID = "" },
		"incarnation": func(a *Announcement) { a.Incarnation = 0 },
		"zone":        func(a *Announcement) { a.Zone = "" },
		"slots":       func(a *Announcement) { a.Slots = 0 },
		"state":       func(a *Announcement) { a.State = "asleep" },
		"model":       func(a *Announcement) { a.Model = "" },
		"load":        func(a *Announcement) { a.Load.Running = -100 },
		"address":     func(a *Announcement) { a.Address = "127.0.0.1:" },
	}
	for field, corrupt := range cases {
		a := validAnnouncement()
		corrupt(&a)
		require.ErrorContains(t, a.Validate(), field)
	}
	for _, address := range []string{"engine.example:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:http"} {
		a := validAnnouncement()
		a.Address = address
		require.ErrorContains(t, a.Validate(), "address")
	}
}
