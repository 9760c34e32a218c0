package server

import (
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Action is what a Fault does.
type Action string

// Actions of faults.
const (
	// ActionRestart ends the run and begins a new one in cold start.
	ActionRestart Action = "restart"
	// ActionFreeze stops reading and writing until ActionThaw; connections stay
	// open.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionSilent makes the open connections silent for good; new ones work.
	ActionSilent Action = "silent"
	// ActionSlow multiplies service times by Factor.
	ActionSlow Action = "slow"
	// ActionKill ends the run and closes the address until ActionRevive.
	ActionKill   Action = "kill"
	ActionRevive Action = "revive"
	// ActionShed refuses all work, ActionDrain does so because the server
	// leaves. On says whether it begins or ends.
	ActionShed  Action = "shed"
	ActionDrain Action = "drain"
	// ActionLie makes the health and load endpoints claim an idle server while
	// On is set.
	ActionLie Action = "lie"
	// ActionGarbage spoils every Every-th answer as Garbage says.
	ActionGarbage Action = "garbage"
	// ActionVersions replaces the shards that the server holds by Maps, in the
	// form of bknd.HeaderMaps.
	ActionVersions Action = "versions"
)

// Fault is a fault of one or more backend servers. Server, Service and Zone
// select the servers; what is empty selects all.
type Fault struct {
	Server  ident.ServerID  `json:"server"`
	Service ident.ServiceID `json:"service"`
	Zone    ident.Zone      `json:"zone"`
	Action  Action          `json:"action"`
	Factor  float64         `json:"factor"`
	Off     bool            `json:"off"`
	Garbage Garbage         `json:"garbage"`
	Every   int             `json:"every"`
	Maps    string          `json:"maps"`
}

// matches reports whether the fault concerns s.
func (f Fault) matches(s *Server) bool {
	return (f.Server == "" || f.Server == s.spec.ID) &&
		(f.Service == "" || f.Service == s.service) &&
		(f.Zone == "" || f.Zone == s.spec.Zone)
}

// apply carries out the fault on s.
func (f Fault) apply(s *Server) error {
	switch f.Action {
	case ActionRestart:
		s.restart("restart")
	case ActionKill:
		s.kill()
	case ActionRevive:
		return s.start()
	case ActionFreeze:
		s.pool.gate.freeze()
	case ActionThaw:
		s.pool.gate.thaw()
	case ActionSilent:
		s.pool.silence()
	default:
		return f.applySetting(s)
	}
	return nil
}

// applySetting carries out a fault that lasts until it is set again.
func (f Fault) applySetting(s *Server) error {
	switch f.Action {
	case ActionSlow:
		s.engine.setSlow(f.factor())
	case ActionShed:
		s.engine.setShedding(!f.Off)
	case ActionDrain:
		s.drain(!f.Off)
	case ActionLie:
		s.lie(!f.Off)
	case ActionGarbage:
		s.engine.setDeaf(f.Garbage == GarbageDeaf)
		s.garbler.set(f.Garbage, f.Every)
	case ActionVersions:
		return f.applyVersions(s)
	default:
		return errors.Newf("server: unknown action %q", f.Action)
	}
	return nil
}

func (f Fault) applyVersions(s *Server) error {
	holdings, err := bknd.ParseMaps(f.Maps)
	if err != nil {
		return err
	}
	s.setHoldings(holdings)
	return nil
}

func (f Fault) factor() float64 {
	if f.Factor <= 0 || f.Off {
		return 1
	}
	return f.Factor
}

// Changes of servers that leave, in histories.
const (
	ChangeDrain = "drain"
	ChangeStay  = "stay"
)

// drain begins or ends the refusal of work by a server that leaves.
func (s *Server) drain(on bool) {
	s.engine.setDraining(on)
	if on {
		s.note(ChangeDrain)
		return
	}
	s.note(ChangeStay)
}
