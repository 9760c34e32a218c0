package routes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

func newRoute(name, prefix string) routes.Route {
	return routes.Route{
		Name: name, Host: "Desk.example", Prefix: prefix, Attempts: 1, Timeout: time.Second,
		Split: []routes.WeightedService{{Service: ident.ServiceID(name), Weight: 1}},
	}
}

func ExampleTable_Match() {
	table, err := routes.NewTable(&routes.Config{Routes: []routes.Route{newRoute("all", "/find/"), newRoute("beds", "/find/beds/")}})
	if err != nil {
		panic(err)
	}
	fmt.Println(table.Match("desk.example", "/find/beds/7").Name)
	fmt.Println(table.Match("desk.example:8080", "/find/sofas").Name)
	fmt.Println(table.Match("desk.example", "/finder/") == nil)
	// Output:
	// beds
	// all
	// true
}

func TestSplitFollowsItsWeights(t *testing.T) {
	route := routes.Route{Split: []routes.WeightedService{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	counts := map[ident.ServiceID]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[ident.ServiceID]int{"a": 750, "b": 250}, counts)
}

func TestMinShards(t *testing.T) {
	for _, test := range []struct {
		shards   int
		coverage float64
		want     int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {90, 0.95, 86}, {10, 0.9, 9}, {3, 0, 1}, {4, 1, 4}} {
		route := routes.Route{Shards: make([]ident.ServiceID, test.shards), Coverage: test.coverage}
		require.Equal(t, test.want, route.MinShards(), "%v", test)
	}
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	good := newRoute("a", "/a/")
	for name, invalidate := range map[string]func(r *routes.Route){
		"no host":         func(r *routes.Route) { r.Host = "" },
		"no slash":        func(r *routes.Route) { r.Prefix = "/a" },
		"no service":      func(r *routes.Route) { r.Split = nil },
		"both":            func(r *routes.Route) { r.Shards = []ident.ServiceID{"s"} },
		"no timeout":      func(r *routes.Route) { r.Timeout = 0 },
		"no attempt":      func(r *routes.Route) { r.Attempts = 0 },
		"negative weight": func(r *routes.Route) { r.Split = []routes.WeightedService{{Service: "a", Weight: -1}} },
		"shard twice":     func(r *routes.Route) { r.Split, r.Shards = nil, []ident.ServiceID{"s", "s"} },
	} {
		route := good
		invalidate(&route)
		_, err := routes.NewTable(&routes.Config{Routes: []routes.Route{route}})
		require.Error(t, err, name)
	}
}
