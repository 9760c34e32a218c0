package lint_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/lint"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

// sound returns a configuration without problems.
func sound() *routes.Config {
	return &routes.Config{
		Version: 8,
		Routes: []routes.Route{
			{
				Name: "beds", Host: "desk.example", Prefix: "/beds/", Idempotent: true, Attempts: 2, Timeout: 3 * time.Second, Goal: 300 * time.Millisecond,
				Shards: []ident.ServiceID{"b1", "b2", "b3"}, Limit: 10, Coverage: 0.6,
			},
			{
				Name: "orders", Host: "desk.example", Prefix: "/orders/", Attempts: 1, Timeout: 6 * time.Second, Goal: time.Second,
				Split: []routes.WeightedService{{Service: "o1", Weight: 3}, {Service: "o2", Weight: 1}},
			},
		},
		Services: map[ident.ServiceID]routes.Service{"b1": {}, "b2": {}, "b3": {}, "o1": {Connections: 20}, "o2": {Connections: 20}},
		Tenants:  []routes.Tenant{newTenant("north", 5, "k1", "k2"), newTenant("south", 0, "k3")},
		Limits:   routes.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func newTenant(name ident.TenantID, rate float64, keys ...string) routes.Tenant {
	t := routes.Tenant{Name: name, Rate: rate, Burst: rate}
	for _, key := range keys {
		t.Keys = append(t.Keys, routes.DigestKey([]byte(key)))
	}
	return t
}

func ExampleCheck() {
	config := sound()
	config.Routes[0].Goal = 4 * time.Second
	for _, finding := range lint.Check(config, nil) {
		fmt.Println(finding)
	}
	// Output:
	// error: route "beds": the goal of 4s is above the timeout of 3s
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	require.Empty(t, lint.Check(sound(), nil))
	current := sound()
	current.Version = 7
	require.Empty(t, lint.Check(sound(), current))
}

// Guards against mistakes that operators would see only once VMs use the configuration.
func TestPlantedMistakesAreFound(t *testing.T) {
	mistakes := map[string]struct {
		want  string
		plant func(c *routes.Config)
	}{
		"no host":           {`error: route "beds": no host`, func(c *routes.Config) { c.Routes[0].Host = "" }},
		"host with port":    {`error: route "beds": host "desk.example:80" contains`, func(c *routes.Config) { c.Routes[0].Host = "desk.example:80" }},
		"prefix":            {`error: route "beds": prefix "/beds" does not`, func(c *routes.Config) { c.Routes[0].Prefix = "/beds" }},
		"no timeout":        {`error: route "beds": no timeout`, func(c *routes.Config) { c.Routes[0].Timeout, c.Routes[0].Goal = 0, 0 }},
		"goal":              {`error: route "orders": the goal of 7s`, func(c *routes.Config) { c.Routes[1].Goal = 7 * time.Second }},
		"shard twice":       {`error: route "beds": a shard is listed twice`, func(c *routes.Config) { c.Routes[0].Shards[0] = "b2" }},
		"both kinds":        {`error: route "beds": exactly one of`, func(c *routes.Config) { c.Routes[0].Split = c.Routes[1].Split }},
		"no records":        {`error: route "beds": a search for the best 0`, func(c *routes.Config) { c.Routes[0].Limit = 0 }},
		"coverage":          {`error: route "beds": no answer covers 1.2`, func(c *routes.Config) { c.Routes[0].Coverage = 1.2 }},
		"no coverage":       {`warning: route "beds": a coverage of 0`, func(c *routes.Config) { c.Routes[0].Coverage = 0 }},
		"no weight":         {`error: route "orders": the weights sum up to 0`, func(c *routes.Config) { c.Routes[1].Split = []routes.WeightedService{{Service: "o1"}, {Service: "o2"}} }},
		"one weight":        {`warning: route "orders": service "o2" has a weight of 0`, func(c *routes.Config) { c.Routes[1].Split[1].Weight = 0 }},
		"negative weight":   {`error: route "orders": negative weight`, func(c *routes.Config) { c.Routes[1].Split[0].Weight = -1 }},
		"shadowed":          {`error: route "orders": never matches: route "beds"`, func(c *routes.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "Desk.example", "/beds/" }},
		"name twice":        {`warning: route "beds": the name is used twice`, func(c *routes.Config) { c.Routes[1].Name = "beds" }},
		"undefined service": {`error: route "beds": service "b3" is not defined`, func(c *routes.Config) { delete(c.Services, "b3") }},
		"unused service":    {`warning: service "x": no route`, func(c *routes.Config) { c.Services["x"] = routes.Service{} }},
		"negative limit":    {`error: service "o1": a limit is negative`, func(c *routes.Config) { c.Services["o1"] = routes.Service{Connections: -1} }},
		"shared key":        {`error: tenant "south": key 6ab9`, func(c *routes.Config) { c.Tenants[1].Keys = c.Tenants[0].Keys[:1] }},
		"tenant twice":      {`error: tenant "north": the name is used twice`, func(c *routes.Config) { c.Tenants[1].Name = "north" }},
		"tenant name":       {`error: tenant "a b": the name is not`, func(c *routes.Config) { c.Tenants[1].Name = "a b" }},
		"no key":            {`warning: tenant "south": it has no key`, func(c *routes.Config) { c.Tenants[1].Keys = nil }},
		"burst":             {`warning: tenant "north": a burst of 0.5`, func(c *routes.Config) { c.Tenants[0].Burst = 0.5 }},
		"negative quota":    {`error: tenant "north": the quota is negative`, func(c *routes.Config) { c.Tenants[0].Burst = -2 }},
		"public for nobody": {`warning: tenants: there are none`, func(c *routes.Config) { c.Tenants, c.Routes[0].Public = nil, true }},
		"header timeout":    {`warning: limits: headers may take 20s`, func(c *routes.Config) { c.Limits.HeaderTimeout = 20 * time.Second }},
		"attempts":          {`warning: route "orders": requests may run once only`, func(c *routes.Config) { c.Routes[1].Attempts = 3 }},
		"new host":          {`warning: route "orders": host "shop.example" is new`, func(c *routes.Config) { c.Routes[1].Host = "shop.example" }},
		"old version":       {`error: version: 7 is not above 7`, func(c *routes.Config) { c.Version = 7 }},
	}
	for _, name := range slices.Sorted(maps.Keys(mistakes)) {
		config, current := sound(), sound()
		current.Version = 7
		mistakes[name].plant(config)
		found := slices.ContainsFunc(lint.Check(config, current), func(f lint.Finding) bool {
			return strings.HasPrefix(f.String(), mistakes[name].want)
		})
		require.True(t, found, "%s: want %q among %v", name, mistakes[name].want, lint.Check(config, current))
	}
}

// Guards against a mistake in one part that floods the report: a search names hundreds of services.
func TestManyUndefinedServicesAreCounted(t *testing.T) {
	config := sound()
	config.Services = nil
	for i := range 200 {
		config.Routes[0].Shards = append(config.Routes[0].Shards, ident.ServiceID(fmt.Sprint("more-", i)))
	}
	require.LessOrEqual(t, len(lint.Check(config, nil)), 8)
}

func TestDifferencesAndTheirEffects(t *testing.T) {
	current, next := sound(), sound()
	next.Version = 9
	next.Routes[0].Name, next.Routes[0].Prefix = "sofas", "/sofas/"
	next.Routes[1].Timeout = 5 * time.Second
	next.Routes[1].Split = next.Routes[1].Split[:1]
	delete(next.Services, "o2")
	next.Tenants = []routes.Tenant{newTenant("north", 2, "k1", "k9"), newTenant("west", 0, "k4")}
	next.Limits.BodyBytes = 1000
	var lines []string
	for _, change := range lint.Compare(current, next) {
		lines = append(lines, change.String())
	}
	k2, k9 := routes.DigestKey([]byte("k2")).Fingerprint(), routes.DigestKey([]byte("k9")).Fingerprint()
	require.Equal(t, []string{
		`version: 9 instead of 8`,
		`route "beds": removed, matched desk.example/beds/ (requests under way are answered; later ones get 404)`,
		`route "orders": timeout 5s instead of 6s (requests under way keep their time)`,
		`route "orders": service o1 3 instead of service o1 3, o2 1 (requests under way end where they run, later ones and retries go to the new services)`,
		`route "sofas": added, matches desk.example/sofas/`,
		`service "o2": removed`,
		`tenant "south": removed with 1 keys (requests under way are answered; later ones with the key get 401, on open connections too)`,
		`tenant "north": key ` + k2 + ` removed (requests under way are answered; later ones with the key get 401, on open connections too)`,
		`tenant "north": key ` + k9 + ` added`,
		`tenant "north": 2 requests per second and a burst of 2 instead of 5 requests per second and a burst of 5 (later requests over the quota get 429)`,
		`tenant "west": added with 1 keys, no limit`,
		`limits: {HeaderBytes:16384 BodyBytes:1000 HeaderTimeout:3s IdleTimeout:15s} instead of {HeaderBytes:16384 BodyBytes:262144 HeaderTimeout:3s IdleTimeout:15s}`,
	}, lines)
	require.Empty(t, lint.Compare(current, sound()))
}
