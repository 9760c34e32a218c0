package mesh_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/fleet/view"
	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
)

// Guards against an invalid response that passes for the acknowledgement of a
// batch, whose queries are then never reported as lost.
func TestInvalidResponsesAreNoAcknowledgement(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.1")
	for name, response := range faulty.Responses("", "") {
		address, _ := faulty.Serve(t, func(string) string { return response })
		a.mesh.SendQuery(view.Member{Process: ident.Process{VM: ident.VMID(name)}, Peer: address}, msgs.Query{ID: 5})
		require.Equal(t, lostQuery{id: 5, sent: true}, receive(t, a.lost), name)
	}
}

// Guards against a status that VMs never send and that passes for the refusal of a batch, after which
// actions are sent again although they may have run.
func TestOnlyRefusalsMeanThatABatchWasNotProcessed(t *testing.T) {
	a := newEndpoint(t, "a", "127.0.9.2")
	for status, sent := range map[string]bool{"204": true, "302": true, "500": true, "502": true, "504": true, "400": false, "404": false, "413": false, "503": false} {
		address, _ := faulty.Serve(t, func(string) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" })
		a.mesh.SendQuery(view.Member{Process: ident.Process{VM: ident.VMID(status)}, Peer: address}, msgs.Query{ID: 5})
		require.Equal(t, lostQuery{id: 5, sent: sent}, receive(t, a.lost), status)
	}
}
