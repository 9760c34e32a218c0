package rig

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// OwnerOf returns the id of the process of the system that has the socket at a loopback address, or
// "". On a network each machine has an address of its own; here all have the same one.
func OwnerOf(vms []*VM, address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", tcp.Port)) {
			inode = fields[9]
		}
	}
	for _, vm := range vms {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", vm.PID()))
		if err != nil {
			continue
		}
		for _, file := range files {
			if link, err := os.Readlink(file); err == nil && link == "socket:["+inode+"]" {
				return vm.ID
			}
		}
	}
	return ""
}
