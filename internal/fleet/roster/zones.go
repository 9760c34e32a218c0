package roster

import (
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
)

// zoneMark marks a zone that is out of service. If removeAt is not zero, its key is
// missing, and the mark is removed at that time unless the key reappears.
type zoneMark struct {
	key      string
	removeAt time.Time
}

func (s *State) markZoneOut(zone ident.Zone, key string) {
	_, out := s.zonesOut[zone]
	s.zonesOut[zone] = &zoneMark{key: key}
	if out {
		return
	}
	s.changed = true
	s.events.Record("zone_out", string(zone), "operator")
}

func (s *State) markZoneIn(zone ident.Zone) {
	if _, out := s.zonesOut[zone]; !out {
		return
	}
	delete(s.zonesOut, zone)
	s.changed = true
	s.events.Record("zone_in", string(zone), "operator")
}

// handleMissingZoneMark puts a zone back into service. In the grace period of an era it is
// kept out of service until the period ends, since the copy may be from before the mark.
func (s *State) handleMissingZoneMark(now time.Time, zone ident.Zone, mark *zoneMark) {
	if !now.Before(s.eraGraceUntil) {
		s.markZoneIn(zone)
		return
	}
	if mark.removeAt.IsZero() {
		mark.removeAt = s.eraGraceUntil
	}
}
