package svcdoc

import (
	"bytes"
	"fmt"
	"strings"
)

// Format returns the canonical text of a document. Parse turns it into an equal
// document.
func Format(d *Document) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[service]\nname = %s\ndeadline = %s\n", d.Service, d.Deadline)
	fmt.Fprintf(&b, "\n[callers]\nclasses = %s\n", strings.Join(d.Classes, ", "))
	if len(d.NonIdempotent) > 0 {
		fmt.Fprintf(&b, "\n[actions]\nnon_idempotent = %s\n", strings.Join(d.NonIdempotent, ", "))
	}
	b.WriteString("\n[limits]\n")
	formatLimits(&b, d.Limits, Limits{ConnectCost: -1})
	for _, server := range d.Servers {
		formatServer(&b, d, server)
	}
	return b.Bytes()
}

func formatServer(b *bytes.Buffer, d *Document, server Server) {
	name := strings.TrimPrefix(string(server.ID), string(d.Service)+"/")
	fmt.Fprintf(b, "\n[server %s]\naddress = %s\nzone = %s\nshard = %d\n", name, server.Address, server.Zone, server.Shard)
	formatLimits(b, server.Limits, d.Limits)
}

// formatLimits writes those limits that differ from the given ones.
func formatLimits(b *bytes.Buffer, l, besides Limits) {
	if l.Slots != besides.Slots {
		fmt.Fprintf(b, "slots = %d\n", l.Slots)
	}
	if l.Connections != besides.Connections {
		fmt.Fprintf(b, "connections = %d\n", l.Connections)
	}
	if l.ConnectCost != besides.ConnectCost {
		fmt.Fprintf(b, "connect_cost = %s\n", l.ConnectCost)
	}
	if l.ColdSlots != besides.ColdSlots {
		fmt.Fprintf(b, "cold_slots = %d\n", l.ColdSlots)
	}
	if l.WarmAfter != besides.WarmAfter {
		fmt.Fprintf(b, "warm_after = %d\n", l.WarmAfter)
	}
}
