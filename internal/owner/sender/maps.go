package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const (
	// reportInterval is the time after which a process is sent unchanged index
	// maps again, in case a reply was lost.
	reportInterval = 5 * time.Second
	// maxReceivers is the number of processes per server for which the last
	// report is stored. When it is reached, all are forgotten.
	maxReceivers = 2048
)

// indexMaps holds the index maps of one server, which list the shards that the
// server holds of each index version, and the reports of them to other processes.
type indexMaps struct {
	// text is the value of bknd.HeaderMaps that the other fields were parsed from.
	text   string
	shards []msgs.Holding
	// serial counts the changes; 0 means that the server has reported no maps.
	serial   uint64
	reported map[ident.Process]report
}

// report is the serial of the maps that a process was sent last, and when.
type report struct {
	serial uint64
	at     time.Time
}

// observe applies the value of bknd.HeaderMaps in an answer.
func (m *indexMaps) observe(text string) error {
	if text == m.text {
		return nil
	}
	parsed, err := bknd.ParseMaps(text)
	if err != nil {
		return err
	}
	m.text = text
	m.serial++
	m.shards = make([]msgs.Holding, len(parsed))
	for i, p := range parsed {
		m.shards[i] = msgs.Holding{Version: uint64(p.Version), Shard: uint32(p.Shard), Shards: p.Shards}
	}
	return nil
}

// known reports whether the server has reported its maps.
func (m *indexMaps) known() bool {
	return m.serial > 0
}

// forReceiver returns the maps for an answer to the process. It returns nil if the
// process was sent these maps recently, unless always is set.
func (m *indexMaps) forReceiver(to ident.Process, always bool, now time.Time) []msgs.Holding {
	if !m.known() {
		return nil
	}
	last := m.reported[to]
	if !always && last.serial == m.serial && now.Sub(last.at) < reportInterval {
		return nil
	}
	if m.reported == nil || len(m.reported) >= maxReceivers {
		m.reported = map[ident.Process]report{}
	}
	m.reported[to] = report{serial: m.serial, at: now}
	return m.shards
}
