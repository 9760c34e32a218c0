package sender

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/link/msgs"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

const (
	// tellAgainAfter is the time after which index maps are told again, in case
	// a reply was lost.
	tellAgainAfter = 5 * time.Second
	// maxTold bounds the number of processes remembered per server.
	maxTold = 2048
)

// indexMaps holds the index maps of one server and to whom they were told.
type indexMaps struct {
	text     string
	holdings []msgs.Holding
	serial   uint64
	told     map[ident.Process]telling
}

// telling says which serial a process was told, and when.
type telling struct {
	serial uint64
	at     time.Time
}

// observe takes over the value of bknd.HeaderMaps.
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
	m.holdings = make([]msgs.Holding, len(parsed))
	for i, p := range parsed {
		m.holdings[i] = msgs.Holding{Version: uint64(p.Version), Shard: uint32(p.Shard), Shards: p.Shards}
	}
	return nil
}

// known reports whether the server has told its maps.
func (m *indexMaps) known() bool {
	return m.serial > 0
}

// tell returns the maps if the process has to be told of them, else nil.
func (m *indexMaps) tell(to ident.Process, always bool, now time.Time) []msgs.Holding {
	if !m.known() {
		return nil
	}
	last := m.told[to]
	if !always && last.serial == m.serial && now.Sub(last.at) < tellAgainAfter {
		return nil
	}
	if m.told == nil || len(m.told) >= maxTold {
		m.told = map[ident.Process]telling{}
	}
	m.told[to] = telling{serial: m.serial, at: now}
	return m.holdings
}
