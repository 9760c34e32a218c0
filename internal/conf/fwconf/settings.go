// Package fwconf defines and reads the settings file of the forward command,
// which runs a VM that forwards requests by routes.
package fwconf

import (
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/strict"
)

// Settings holds the validated settings of one process, one field per section of
// the file.
type Settings struct {
	VM          VM
	Listen      Listen
	Depot       Depot
	Answers     Answers
	RetryBudget RetryBudget
	Cost        Cost
	Servers     Servers
	Quarantine  Quarantine
	Quota       Quota
	Rollout     Rollout
	Log         Log
}

// VM describes the VM that the process runs on.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	// Memory is the memory of the process in bytes.
	Memory int64
	// Cores is the number of CPU cores of the VM, possibly a fraction. VMs with
	// more cores are preferred for serving callers.
	Cores float64
	// StopBound is the maximum duration of a planned stop.
	StopBound time.Duration
}

// Listen holds the addresses on which the process listens, as "ip:port".
type Listen struct {
	// Callers is for the requests to be forwarded.
	Callers string
	// Directory is for callers that ask for the list of VMs to use.
	Directory string
	// Ready is for the readiness checks of the platform.
	Ready string
	// Peers is for datagrams and requests from other VMs.
	Peers string
	// Admin is for operators and metrics collectors.
	Admin string
}

// Depot holds the settings of the connection to the platform's store.
type Depot struct {
	URL string
	// Touch is the maximum time in which a VM detects that its connection to the
	// store gets no answers, and reads what it missed.
	Touch time.Duration
}

// Answers holds the settings of answers to callers.
type Answers struct {
	// Partial enables partial answers: at the goal of its route, a search is
	// answered with the parts that have arrived if they cover enough shards.
	Partial bool
	// ListLifetime is how long callers may cache the list of VM addresses.
	ListLifetime time.Duration
}

// RetryBudget limits the extra attempts, that is retries and hedged requests,
// that all VMs together send to one service. It is the section [extra].
type RetryBudget struct {
	// Share is the number of extra attempts allowed per first attempt.
	Share float64
	// Slack is the number of extra attempts allowed in each window in addition
	// to Share.
	Slack float64
	// Window is the period to which the limit applies.
	Window time.Duration
}

// Cost trades the cost of traffic between availability zones against response
// time.
type Cost struct {
	// Stay is a fraction of the goal of a route. A backend server in the VM's
	// own availability zone is preferred if its expected response time is
	// longer by at most this fraction of the goal.
	Stay float64
}

// Servers limits what backend servers may request of this VM.
type Servers struct {
	// Quiet is the maximum time for which this VM sends no requests to a backend
	// server that asked for a backoff.
	Quiet time.Duration
}

// Quarantine keeps requests from running that end the backend servers that run them.
type Quarantine struct {
	// Callers are the names of the headers, in lower case, that tell callers apart. Requests
	// that differ in one of them are different requests.
	Callers []string
	// Hold is the time for which such a request is refused before it is tried again. It
	// doubles with each trial that fails.
	Hold time.Duration
}

// Quota says by how much the quotas of tenants may be exceeded: in any window a tenant may send
// (rate x Window + burst) x (1 + Overage) + Slack requests over all VMs.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Rollout limits what a new version of a service gets before it is proven.
type Rollout struct {
	// Share is the part of the requests to the service, over all VMs together, and Slack the
	// number of requests beside that.
	Share, Slack float64
	// Back is the time after which a version that is known to be bad gets no requests.
	Back time.Duration
}

// Log holds the settings of logging.
type Log struct {
	Level slog.Level
}

// Defaults of settings that a file may leave out.
const (
	defaultMemoryMB     = 256
	defaultStopBound    = 6 * time.Second
	defaultTouch        = 4 * time.Second
	defaultListLifetime = time.Second
	defaultShare        = 0.1
	defaultSlack        = 20
	defaultWindow       = 10 * time.Second
	defaultStay         = 0.2
	defaultQuiet        = 30 * time.Second
	defaultHold         = 10 * time.Minute
	defaultQuotaWindow  = 5 * time.Second
	defaultOverage      = 0.1
	defaultQuotaSlack   = 20
	defaultExposure     = 0.1
	defaultExposed      = 50
	defaultBack         = 5 * time.Second
	// maxCallerHeaders bounds Quarantine.Callers.
	maxCallerHeaders = 16
)

// defaultCallerHeaders is the default of Quarantine.Callers.
var defaultCallerHeaders = []string{"authorization", "cookie", "x-api-key"}

// Values of settings that are either on or off.
const (
	on  = "on"
	off = "off"
)

// Load reads and validates the settings file at path. It fails if the file cannot
// be read, or with strict.Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "fwconf: load")
	}
	return Parse(data)
}

// Parse parses and validates settings. It fails with strict.Faults, which list all
// errors.
func Parse(data []byte) (*Settings, error) {
	file := strict.Parse(data)
	s := &Settings{
		VM:          readVM(file.Section("vm", true)),
		Listen:      readListen(file.Section("listen", true)),
		Depot:       readDepot(file.Section("depot", true)),
		Answers:     readAnswers(file.Section("answers", false)),
		RetryBudget: readRetryBudget(file.Section("extra", false)),
		Cost:        readCost(file.Section("cost", false)),
		Servers:     readServers(file.Section("servers", false)),
		Quarantine:  readQuarantine(file.Section("quarantine", false)),
		Quota:       readQuota(file.Section("quota", false)),
		Rollout:     readRollout(file.Section("rollout", false)),
		Log:         readLog(file.Section("log", false)),
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readVM(section *strict.Section) VM {
	return VM{
		ID:        ident.VMID(section.Identifier("id", coll.None[string]())),
		Zone:      ident.Zone(section.Identifier("zone", coll.None[string]())),
		Memory:    int64(section.Int("memory", coll.Some(defaultMemoryMB), 32, 1<<20)) << 20,
		Cores:     section.Float("cores", coll.Some(1.0), 0.01, 1024),
		StopBound: section.Duration("stop", coll.Some(defaultStopBound), time.Second, time.Hour),
	}
}

func readListen(section *strict.Section) Listen {
	return Listen{
		Callers:   section.Address("callers", coll.None[string]()),
		Directory: section.Address("directory", coll.None[string]()),
		Ready:     section.Address("ready", coll.None[string]()),
		Peers:     section.Address("peers", coll.None[string]()),
		Admin:     section.Address("admin", coll.None[string]()),
	}
}

func readDepot(section *strict.Section) Depot {
	return Depot{
		URL:   section.URL("url", coll.None[string]()),
		Touch: section.Duration("touch", coll.Some(defaultTouch), 500*time.Millisecond, time.Hour),
	}
}

func readAnswers(section *strict.Section) Answers {
	return Answers{
		Partial:      section.Choice("partial", coll.Some(off), on, off) == on,
		ListLifetime: section.Duration("lifetime", coll.Some(defaultListLifetime), 100*time.Millisecond, 10*time.Minute),
	}
}

func readRetryBudget(section *strict.Section) RetryBudget {
	return RetryBudget{
		Share:  section.Float("share", coll.Some(defaultShare), 0, 1),
		Slack:  section.Float("slack", coll.Some(float64(defaultSlack)), 0, 1e6),
		Window: section.Duration("window", coll.Some(defaultWindow), time.Second, time.Hour),
	}
}

func readCost(section *strict.Section) Cost {
	return Cost{Stay: section.Float("stay", coll.Some(defaultStay), 0, 1)}
}

func readServers(section *strict.Section) Servers {
	return Servers{Quiet: section.Duration("quiet", coll.Some(defaultQuiet), time.Second, time.Hour)}
}

func readQuarantine(section *strict.Section) Quarantine {
	return Quarantine{
		Callers: section.Identifiers("callers", coll.Some(defaultCallerHeaders), maxCallerHeaders),
		Hold:    section.Duration("hold", coll.Some(defaultHold), 10*time.Second, 24*time.Hour),
	}
}

func readQuota(section *strict.Section) Quota {
	return Quota{
		Window:  section.Duration("window", coll.Some(defaultQuotaWindow), time.Second, time.Hour),
		Overage: section.Float("overage", coll.Some(defaultOverage), 0, 1),
		Slack:   section.Float("slack", coll.Some(float64(defaultQuotaSlack)), 0, 1e6),
	}
}

func readRollout(section *strict.Section) Rollout {
	return Rollout{
		Share: section.Float("share", coll.Some(defaultExposure), 0, 1),
		Slack: section.Float("slack", coll.Some(float64(defaultExposed)), 0, 1e6),
		Back:  section.Duration("back", coll.Some(defaultBack), time.Second, time.Hour),
	}
}

func readLog(section *strict.Section) Log {
	return Log{Level: section.Level("level")}
}
