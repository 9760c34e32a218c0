package kvsrv_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/plat/store"
)

func start(t *testing.T, options store.HTTPOptions) (*kvsrv.Service, *store.HTTP) {
	t.Helper()
	service, err := kvsrv.Start("127.0.0.1:0")
	require.NoError(t, err)
	client, err := store.NewHTTP(service.URL(), metrics.NewSet(), options)
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, service.Close())
	})
	return service, client
}

func TestSwapComparesRevisions(t *testing.T) {
	_, client := start(t, store.HTTPOptions{})
	ctx := context.Background()
	absent, err := client.Get(ctx, "fleet/view")
	require.NoError(t, err)
	require.Zero(t, absent.Revision)

	first, err := client.Swap(ctx, "fleet/view", 0, []byte("a"))
	require.NoError(t, err)
	_, err = client.Swap(ctx, "fleet/view", 0, []byte("b"))
	require.ErrorIs(t, err, store.ErrConflict)
	second, err := client.Swap(ctx, "fleet/view", first, []byte("c"))
	require.NoError(t, err)

	entry, err := client.Get(ctx, "fleet/view")
	require.NoError(t, err)
	require.Equal(t, store.Entry{Value: []byte("c"), Revision: second}, entry)
}

func TestLostAnswerIsUnknownAndTookEffect(t *testing.T) {
	service, client := start(t, store.HTTPOptions{})
	service.SetFault(kvsrv.Fault{LoseEvery: 1})
	_, err := client.Swap(context.Background(), "key", 0, []byte("a"))
	require.ErrorIs(t, err, store.ErrUnknown)
	entry, err := client.Get(context.Background(), "key")
	require.NoError(t, err)
	require.Equal(t, "a", string(entry.Value))
	require.EqualValues(t, 1, service.Calls().Lost)
}

func TestRefusalsAreUnavailable(t *testing.T) {
	service, client := start(t, store.HTTPOptions{})
	_, err := client.Swap(context.Background(), "key", 0, []byte(strings.Repeat("x", 1<<20+1)))
	require.ErrorIs(t, err, store.ErrUnavailable)
	service.SetFault(kvsrv.Fault{Down: true})
	_, err = client.Swap(context.Background(), "key", 0, nil)
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.Get(context.Background(), "key")
	require.ErrorIs(t, err, store.ErrUnavailable)

	stopped, err := store.NewHTTP("http://127.0.0.1:1", metrics.NewSet(), store.HTTPOptions{})
	require.NoError(t, err)
	_, err = stopped.Swap(context.Background(), "key", 0, nil)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NotErrorIs(t, err, store.ErrUnknown)
}

func TestSlowWriteIsUnknown(t *testing.T) {
	service, client := start(t, store.HTTPOptions{Client: httpc.Options{Timeout: 20 * time.Millisecond}})
	service.SetFault(kvsrv.Fault{SlowMillis: 200})
	_, err := client.Swap(context.Background(), "key", 0, nil)
	require.ErrorIs(t, err, store.ErrUnknown)
}

func TestWatchSeesChangeAndOutage(t *testing.T) {
	service, client := start(t, store.HTTPOptions{})
	var group conc.WaitGroup
	group.Go(func() {
		require.Eventually(t, func() bool { return service.Calls().Waiting == 1 }, time.Minute, time.Millisecond)
		_, err := client.Swap(context.Background(), "key", 0, []byte("a"))
		require.NoError(t, err)
	})
	entry, err := client.Watch(context.Background(), "key", 0)
	require.NoError(t, err)
	require.Equal(t, "a", string(entry.Value))
	group.Wait()

	group.Go(func() {
		require.Eventually(t, func() bool { return service.Calls().Waiting == 1 }, time.Minute, time.Millisecond)
		service.SetFault(kvsrv.Fault{Down: true})
	})
	_, err = client.Watch(context.Background(), "key", entry.Revision)
	require.ErrorIs(t, err, store.ErrUnavailable)
	group.Wait()
	require.EqualValues(t, 2, service.Calls().Watches)
}

func TestWatchWithoutChangeEnds(t *testing.T) {
	_, client := start(t, store.HTTPOptions{Wait: time.Millisecond})
	_, err := client.Watch(context.Background(), "key", 0)
	require.ErrorIs(t, err, store.ErrUnchanged)
}
