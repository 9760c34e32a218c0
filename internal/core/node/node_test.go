package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
	"github.com/samphirestair/samphirestair/internal/core/node"
	"github.com/samphirestair/samphirestair/internal/lab/kvsrv"
	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// settings returns the settings of a process that is the only member of its fleet.
func settings(t *testing.T, host int) *vmconf.Settings {
	t.Helper()
	// The ports are fixed, so that another run of this test at the same time needs other addresses.
	ip := fmt.Sprintf("127.%d.%d.%d", 192+os.Getpid()%60, os.Getpid()/60%250, host)
	kv, err := kvsrv.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, kv.Close()) })
	list, err := vmsrv.Start("127.0.0.1:0", vmsrv.Fault{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, list.Close()) })
	parsed, err := vmconf.Parse([]byte(`
[vm]
id = vm-1
zone = vantaa
ip = `+ip+`
[platform]
store = `+kv.URL()+`
vms = `+list.URL()+`
[fleet]
list_lifetime = 100ms
`), vmconf.Options{})
	require.NoError(t, err)
	return parsed
}

func answersOK(url string) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func TestProcessJoinsServesAndStops(t *testing.T) {
	own := settings(t, 1)
	process, err := node.New(own, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	stop := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- process.Run(stop) }()
	require.Eventually(t, func() bool { return answersOK("http://" + own.CallerAddress() + "/v1/ready") }, waitTimeout, pollInterval)
	for _, path := range []string{"/state", "/status", "/fleet", "/metrics"} {
		require.True(t, answersOK("http://"+own.AdminAddress()+path), path)
	}
	stop <- syscall.SIGTERM
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the process did not stop in time")
	}
	require.False(t, answersOK("http://"+own.CallerAddress()+"/v1/ready"))
}

func TestRunFailsAtOnceIfAPortIsInUse(t *testing.T) {
	own := settings(t, 2)
	process, err := node.New(own, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	second, err := node.New(own, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	stop := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- process.Run(stop) }()
	require.Eventually(t, func() bool { return answersOK("http://" + own.AdminAddress() + "/state") }, waitTimeout, pollInterval)
	require.ErrorContains(t, second.Run(make(chan os.Signal)), "address already in use")
	stop <- syscall.SIGTERM
	require.NoError(t, <-ended)
}
