package vmconf

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
)

// Kinds of policies for Options.PolicyNames. They are also the keys of the section
// [policies].
const (
	KindReplica   = "replica"
	KindHedge     = "hedge"
	KindAdmission = "admission"
)

// Defaults of settings that a file may leave out.
const (
	defaultCaller       = 7000
	defaultPeer         = 7001
	defaultControl      = 7002
	defaultAdmin        = 7003
	defaultReplica      = "expect"
	defaultHedge        = "budget"
	defaultAdmission    = "feasible"
	defaultLease        = 1500 * time.Millisecond
	defaultHeartbeat    = 500 * time.Millisecond
	defaultListLifetime = 10 * time.Second
	defaultStopBound    = time.Minute
	defaultMemoryMB     = 256
)

// Values of settings that are either on or off.
const (
	on  = "on"
	off = "off"
)

// heartbeatsPerLease is the minimum number of heartbeats per lease, so that one
// lost heartbeat does not end the lease.
const heartbeatsPerLease = 3

// Options configures validation.
type Options struct {
	// PolicyNames returns the registered policies of a kind. If it is nil, any
	// identifier is valid.
	PolicyNames func(kind string) []string
}

// Load reads and validates the settings file at path. It fails if the file cannot
// be read, or with strict.Faults.
func Load(path string, options Options) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "vmconf: load")
	}
	return Parse(data, options)
}

// Parse parses and validates settings. It fails with strict.Faults, which list all
// errors.
func Parse(data []byte, options Options) (*Settings, error) {
	file := strict.Parse(data)
	s := &Settings{
		VM:       readVM(file.Section("vm", true)),
		Listen:   readListen(file.Section("listen", false)),
		Platform: readPlatform(file.Section("platform", true)),
		Policies: readPolicies(file.Section("policies", false), options),
		Fleet:    readFleet(file.Section("fleet", false)),
		Log:      readLog(file.Section("log", false)),
		Test:     readTest(file.Section("test", false)),
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readVM(section *strict.Section) VM {
	return VM{
		ID:     ident.VMID(section.Identifier("id", coll.None[string]())),
		Zone:   ident.Zone(section.Identifier("zone", coll.None[string]())),
		IP:     section.IP("ip", coll.None[string]()),
		Memory: int64(section.Int("memory", coll.Some(defaultMemoryMB), 32, 1<<20)) << 20,
	}
}

func readListen(section *strict.Section) Listen {
	l := Listen{
		Caller:  readPort(section, "caller", defaultCaller),
		Peer:    readPort(section, "peer", defaultPeer),
		Control: readPort(section, "control", defaultControl),
		Admin:   readPort(section, "admin", defaultAdmin),
	}
	distinct := coll.NewSet(l.Caller, l.Peer, l.Control, l.Admin)
	if len(distinct) < 4 && !distinct.Has(0) {
		section.Fault("", fmt.Sprintf("ports %d, %d, %d and %d are not all different", l.Caller, l.Peer, l.Control, l.Admin), "four different ports")
	}
	return l
}

func readPort(section *strict.Section, key string, fallback int) int {
	return section.Int(key, coll.Some(fallback), 1, 65535)
}

func readPlatform(section *strict.Section) Platform {
	return Platform{
		Store: section.URL("store", coll.None[string]()),
		VMs:   section.URL("vms", coll.None[string]()),
	}
}

func readPolicies(section *strict.Section, options Options) Policies {
	return Policies{
		Replica:   readPolicy(section, KindReplica, defaultReplica, options),
		Hedge:     readPolicy(section, KindHedge, defaultHedge, options),
		Admission: readPolicy(section, KindAdmission, defaultAdmission, options),
	}
}

func readPolicy(section *strict.Section, kind, fallback string, options Options) string {
	if options.PolicyNames == nil {
		return section.Identifier(kind, coll.Some(fallback))
	}
	return section.Choice(kind, coll.Some(fallback), options.PolicyNames(kind)...)
}

func readFleet(section *strict.Section) Fleet {
	f := Fleet{
		Lease:        section.Duration("lease", coll.Some(defaultLease), 100*time.Millisecond, time.Minute),
		Heartbeat:    section.Duration("heartbeat", coll.Some(defaultHeartbeat), 10*time.Millisecond, 20*time.Second),
		ListLifetime: section.Duration("list_lifetime", coll.Some(defaultListLifetime), 100*time.Millisecond, 10*time.Minute),
		StopBound:    section.Duration("stop_bound", coll.Some(defaultStopBound), time.Second, time.Hour),
	}
	checkFleet(section, f)
	return f
}

// checkFleet checks constraints between durations. It skips a duration of 0, whose
// fault is recorded already.
func checkFleet(section *strict.Section, f Fleet) {
	if f.Lease > 0 && f.Heartbeat > f.Lease/heartbeatsPerLease {
		section.Fault("heartbeat", fmt.Sprintf("%s is more than a third of lease", f.Heartbeat), fmt.Sprintf("at most %s", f.Lease/heartbeatsPerLease))
	}
	if f.StopBound > 0 && f.ListLifetime >= f.StopBound {
		section.Fault("list_lifetime", fmt.Sprintf("%s is not less than stop_bound", f.ListLifetime), fmt.Sprintf("less than %s", f.StopBound))
	}
}

func readLog(section *strict.Section) Log {
	return Log{Format: section.Choice("format", coll.Some("text"), "text", "json"), Level: section.Level("level")}
}

func readTest(section *strict.Section) Test {
	return Test{Faults: section.Choice("faults", coll.Some(off), on, off) == on}
}
