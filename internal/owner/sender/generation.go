package sender

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/client"
)

// processGeneration numbers the processes of a server in the order of their
// hellos. Requests that were sent to an earlier process have ended with it. The
// zero value has seen no process.
type processGeneration struct {
	boot   ident.BootID
	number uint64
	// helloSeq is the highest client.Hello.Seq of the process.
	helloSeq uint64
}

// observe returns the generation of the process that said hello, and whether it
// replaced a known process. A late hello of the process before does not.
func (g *processGeneration) observe(hello client.Hello) (generation uint64, replaced bool) {
	if hello.Boot == g.boot {
		g.helloSeq = max(g.helloSeq, hello.Seq)
		return g.number, false
	}
	if hello.Seq < g.helloSeq {
		return g.number - 1, false
	}
	replaced = g.boot != ""
	g.boot, g.helloSeq = hello.Boot, hello.Seq
	g.number++
	return g.number, replaced
}
