package routes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validCatalogue() *Catalogue {
	return &Catalogue{
		Revision: 1,
		Services: []Service{{Name: "chat"}, {Name: "web"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Idempotent, Timeout: time.Second, Split: []WeightedService{{"web", 1}}},
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: Stream, Timeout: time.Second, Split: []WeightedService{{"chat", 3}, {"web", 1}}},
		},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
		KeysNeeded: true,
	}
}

// Guards against an inconsistent catalogue, which would refuse callers or send them
// to the wrong service.
func TestValidateRejectsInvalidCatalogues(t *testing.T) {
	require.NoError(t, validCatalogue().Validate())
	for name, corrupt := range map[string]func(*Catalogue){
		"unknown service":      func(c *Catalogue) { c.Routes[0].Split[0].Service = "none" },
		"same host and prefix": func(c *Catalogue) { c.Routes[1].Prefix = "/" },
		"no weight":            func(c *Catalogue) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":      func(c *Catalogue) { c.Routes[1].Split[1].Weight = -1 },
		"no timeout":           func(c *Catalogue) { c.Routes[0].Timeout = 0 },
		"no kind":              func(c *Catalogue) { c.Routes[0].Kind = 0 },
		"prefix without slash": func(c *Catalogue) { c.Routes[1].Prefix = "/chat" },
		"no host":              func(c *Catalogue) { c.Routes[1].Host = "" },
		"shared key":           func(c *Catalogue) { c.Workspaces[1].Keys = []string{"k2"} },
		"duplicate workspace":  func(c *Catalogue) { c.Workspaces[1].Name = "w1" },
		"duplicate service":    func(c *Catalogue) { c.Services[1].Name = "chat" },
	} {
		c := validCatalogue()
		corrupt(c)
		require.Error(t, c.Validate(), name)
	}
}

// Guards against routing a request by a shorter prefix than the longest match.
func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(validCatalogue())
	require.Equal(t, "chat", table.Route("a.example", "/chat/x").Name)
	require.Equal(t, "all", table.Route("a.example", "/chatter").Name)
	require.Nil(t, table.Route("b.example", "/"))
	require.Equal(t, "w1", table.Workspace("k2").Name)
	require.Nil(t, table.Workspace(""))
}

// Guards against a traffic split that differs from the configured weights.
func TestSplitFollowsWeights(t *testing.T) {
	r := validCatalogue().Routes[1]
	require.Equal(t, "chat", r.Choose(0))
	require.Equal(t, "chat", r.Choose(0.74))
	require.Equal(t, "web", r.Choose(0.76))
	require.Equal(t, "web", r.Choose(0.999999))
}

// Guards against unmatched routes due to upper case or a port in the host.
func TestCanonicalHost(t *testing.T) {
	require.Equal(t, "a.example", CanonicalHost("A.example:8080"))
	require.Equal(t, "a.example", CanonicalHost("a.example"))
}
