package sender

import (
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/owner/lane"
)

// serverRun numbers the runs of a server's process in the order in which they
// said hello. Work that was sent to an earlier run has ended with it. The zero
// value knows no run.
type serverRun struct {
	boot   ident.BootID
	number uint64
	seq    uint64
}

// observe returns the number of the run that said hello, and whether it has
// replaced a known one.
func (r *serverRun) observe(hello lane.Hello) (run uint64, replaced bool) {
	if hello.Boot == r.boot {
		r.seq = max(r.seq, hello.Seq)
		return r.number, false
	}
	if hello.Seq < r.seq {
		return r.number - 1, false
	}
	replaced = r.boot != ""
	r.boot, r.seq = hello.Boot, hello.Seq
	r.number++
	return r.number, replaced
}
