package vmsrv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/vmsrv"
	"github.com/samphirestair/samphirestair/internal/plat/httpc"
	"github.com/samphirestair/samphirestair/internal/plat/vmlist"
)

var (
	one = []vmlist.VM{{ID: "a", Zone: "espoo", IP: "127.0.1.1", State: vmlist.Live}}
	two = append(one, vmlist.VM{ID: "b", Zone: "lahti", IP: "127.0.1.2", State: vmlist.Leaving})
)

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service vmsrv.Service
		service.SetFault(vmsrv.Fault{LagMillis: 2000})
		service.SetVMs(one)
		time.Sleep(time.Second)
		service.SetVMs(two)
		time.Sleep(1999 * time.Millisecond)
		vms, up := service.VMs()
		require.True(t, up)
		require.Equal(t, one, vms)
		time.Sleep(time.Millisecond)
		vms, _ = service.VMs()
		require.Equal(t, two, vms)
	})
}

func TestClientReadsList(t *testing.T) {
	service, err := vmsrv.Start("127.0.0.1:0", vmsrv.Fault{})
	require.NoError(t, err)
	defer func() { require.NoError(t, service.Close()) }()
	client, err := vmlist.NewHTTP(service.URL(), httpc.Options{})
	require.NoError(t, err)
	defer client.Close()

	vms, err := client.VMs(context.Background())
	require.NoError(t, err)
	require.Empty(t, vms)
	service.SetVMs(two)
	vms, err = client.VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, two, vms)
	service.SetFault(vmsrv.Fault{Down: true})
	_, err = client.VMs(context.Background())
	require.Error(t, err)
}
