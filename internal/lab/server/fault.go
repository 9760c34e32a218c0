package server

import (
	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/plat/bknd"
)

// Action is what a Fault does to a server.
type Action string

// Actions of faults.
const (
	// ActionRestart resets all connections and begins a new run in cold start.
	ActionRestart Action = "restart"
	// ActionFreeze stops reading and writing until ActionThaw; connections stay
	// open.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionSilent makes the open connections drop all data in both directions
	// until they are closed. New connections work.
	ActionSilent Action = "silent"
	// ActionSlow multiplies service times by Factor.
	ActionSlow Action = "slow"
	// ActionKill ends the run and stops listening until ActionRevive.
	ActionKill   Action = "kill"
	ActionRevive Action = "revive"
	// ActionShed makes the server refuse all work. ActionDrain does the same and
	// makes the health endpoint report that the server is draining. Off ends
	// them.
	ActionShed  Action = "shed"
	ActionDrain Action = "drain"
	// ActionLie makes the health and load endpoints report an idle and healthy
	// server whatever its state is. Off ends it.
	ActionLie Action = "lie"
	// ActionGarbage corrupts one of every Every answers in the way that Garbage
	// names.
	ActionGarbage Action = "garbage"
	// ActionVersions replaces the index versions and shards that the server
	// holds by Maps, in the format of bknd.HeaderMaps.
	ActionVersions Action = "versions"
)

// Fault is a fault of one or more backend servers. Server, Service and Zone
// select the servers that match all of them; an empty field matches any server.
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

// matches reports whether the fault selects s.
func (f Fault) matches(s *Server) bool {
	return (f.Server == "" || f.Server == s.spec.ID) &&
		(f.Service == "" || f.Service == s.service) &&
		(f.Zone == "" || f.Zone == s.spec.Zone)
}

// apply injects the fault into s.
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

// applySetting injects a fault that lasts until the same action is requested
// again.
func (f Fault) applySetting(s *Server) error {
	switch f.Action {
	case ActionSlow:
		s.engine.setSlow(f.factor())
	case ActionShed:
		s.engine.setShedding(!f.Off)
	case ActionDrain:
		s.drain(!f.Off)
	case ActionLie:
		s.setFakeHealth(!f.Off)
	case ActionGarbage:
		s.engine.setIgnoreCancels(f.Garbage == GarbageDeaf)
		s.corrupter.set(f.Garbage, f.Every)
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
	s.setMaps(holdings)
	return nil
}

// factor returns the factor for service times, 1 if the fault ends or has none.
func (f Fault) factor() float64 {
	if f.Factor <= 0 || f.Off {
		return 1
	}
	return f.Factor
}

// Changes recorded in histories when a server starts draining or stops doing so.
const (
	ChangeDrain = "drain"
	ChangeStay  = "stay"
)

// drain makes the server refuse work and report that it is draining, or ends
// that.
func (s *Server) drain(on bool) {
	s.engine.setDraining(on)
	if on {
		s.recordChange(ChangeDrain)
		return
	}
	s.recordChange(ChangeStay)
}
