package svcdoc

import (
	"bytes"
	"fmt"
	"strings"
)

// Format returns the canonical text of a document. Parsing the text yields an
// equal document.
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

// formatLimits writes the limits that differ from the defaults.
func formatLimits(b *bytes.Buffer, l, defaults Limits) {
	if l.Slots != defaults.Slots {
		fmt.Fprintf(b, "slots = %d\n", l.Slots)
	}
	if l.Connections != defaults.Connections {
		fmt.Fprintf(b, "connections = %d\n", l.Connections)
	}
	if l.ConnectCost != defaults.ConnectCost {
		fmt.Fprintf(b, "connect_cost = %s\n", l.ConnectCost)
	}
	if l.ColdSlots != defaults.ColdSlots {
		fmt.Fprintf(b, "cold_slots = %d\n", l.ColdSlots)
	}
	if l.WarmAfter != defaults.WarmAfter {
		fmt.Fprintf(b, "warm_after = %d\n", l.WarmAfter)
	}
}
