package poison

import (
	"encoding/binary"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/owner/notice"
)

const (
	// maxProcesses is the number of ended processes that are remembered of each request. Their
	// hashes fit into one message.
	maxProcesses = 200
	// tellProcesses is how long the processes that a quarantined request ended are told to other
	// VMs: evidence against requests that ran there is as old.
	tellProcesses = 5 * time.Second
	// explainedFor is how long the end of a process is put down to a quarantined request.
	explainedFor = time.Minute
)

// processHash identifies a server process in few bytes.
type processHash uint32

func hashOf(p notice.Process) processHash {
	h := fnv.New32a()
	// A hash never returns an error.
	_, _ = h.Write([]byte(string(p.ID) + " " + strconv.FormatInt(p.Born, 10)))
	return processHash(h.Sum32())
}

// encodeHashes returns hashes as bytes, and decodeHashes reads them.
func encodeHashes(hashes map[processHash]struct{}) []byte {
	encoded := make([]byte, 0, 4*len(hashes))
	for h := range hashes {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(h))
	}
	return encoded
}

func decodeHashes(encoded []byte) []processHash {
	var hashes []processHash
	for ; len(encoded) >= 4; encoded = encoded[4:] {
		hashes = append(hashes, processHash(binary.BigEndian.Uint32(encoded)))
	}
	return hashes
}

// processIndex maps server processes to the requests that they ran when they ended. It may
// hold requests whose evidence was dropped since.
type processIndex map[processHash][]Fingerprint

func (x processIndex) add(p notice.Process, f Fingerprint) {
	h := hashOf(p)
	x[h] = append(x[h], f)
}

// explain puts the ends of the processes that a quarantined request ended down to it. They no
// longer speak against requests that servers have answered before.
func (l *Ledger) explain(now time.Time, guilty *entry) {
	concerned := coll.NewSet[Fingerprint]()
	for h := range guilty.processes {
		l.explained[h] = now
		for _, f := range l.byProcess[h] {
			concerned.Add(f)
		}
	}
	for f := range concerned {
		e := l.entries[f]
		if e == nil || e == guilty || !e.isTrusted(now) {
			continue
		}
		before := e.state(now)
		if e.dropExplained(l.explained) && e.state(now) != before {
			l.report(now, f, e, before, "another request ended the servers")
			e.wakeWaiting()
		}
	}
}
