package routes_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/routes"
)

func tenant(name string, keys ...string) routes.Tenant {
	t := routes.Tenant{Name: ident.TenantID(name)}
	for _, key := range keys {
		t.Keys = append(t.Keys, routes.DigestKey([]byte(key)))
	}
	return t
}

func ExampleTable_TenantOfKey() {
	table, err := routes.NewTable(&routes.Config{Tenants: []routes.Tenant{tenant("north", "k1", "k2"), tenant("south", "k3")}})
	if err != nil {
		panic(err)
	}
	fmt.Println(table.TenantOfKey([]byte("k2")).Name)
	fmt.Println(table.TenantOfKey([]byte("k4")) == nil)
	// Output:
	// north
	// true
}

// Guards against snapshots between VMs that lose keys, or that contain them.
func TestTenantsSurviveASnapshotWithoutTheirKeys(t *testing.T) {
	encoded, err := json.Marshal(routes.Config{Tenants: []routes.Tenant{tenant("north", "a-secret-key")}})
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "a-secret-key")
	var config routes.Config
	require.NoError(t, json.Unmarshal(encoded, &config))
	table, err := routes.NewTable(&config)
	require.NoError(t, err)
	require.EqualValues(t, "north", table.TenantOfKey([]byte("a-secret-key")).Name)
}

// Guards against a key that runs requests for one of two tenants by chance, and against names
// that would add headers to requests.
func TestInvalidTenantsAreRejected(t *testing.T) {
	for name, tenants := range map[string][]routes.Tenant{
		"shared key":  {tenant("north", "k"), tenant("south", "k")},
		"name twice":  {tenant("north", "k"), tenant("north", "l")},
		"no name":     {tenant("")},
		"header line": {tenant("north\r\nX-Admin: 1", "k")},
	} {
		_, err := routes.NewTable(&routes.Config{Tenants: tenants})
		require.Error(t, err, name)
	}
}

func BenchmarkTenantOfKey(b *testing.B) {
	config := routes.Config{}
	for i := range 10_000 {
		config.Tenants = append(config.Tenants, tenant(fmt.Sprint("tenant-", i), fmt.Sprint("key-a-", i), fmt.Sprint("key-b-", i)))
	}
	table, err := routes.NewTable(&config)
	require.NoError(b, err)
	key := []byte("key-b-7777")
	for b.Loop() {
		_ = table.TenantOfKey(key)
	}
}
