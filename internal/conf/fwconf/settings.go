// Package fwconf defines and reads the settings of a VM that forwards requests
// by routes, as the command forward runs it.
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

// Settings are the checked settings of one process.
type Settings struct {
	VM          VM
	Listen      Listen
	Depot       Depot
	Answers     Answers
	RetryBudget RetryBudget
	Cost        Cost
	Servers     Servers
	Log         Log
}

// VM says which VM the process runs on.
type VM struct {
	ID   ident.VMID
	Zone ident.Zone
	// Memory is the memory of the process in bytes.
	Memory int64
	// Cores is the processor time of the VM, in cores. VMs with more of it are
	// preferred for serving callers.
	Cores float64
	// StopBound is the time in which a planned stop has to be complete.
	StopBound time.Duration
}

// Listen holds the addresses, each "ip:port", on which the process listens.
type Listen struct {
	// Callers takes requests that are forwarded.
	Callers string
	// Directory tells callers which VMs to use.
	Directory string
	// Ready tells the platform whether this VM is ready.
	Ready string
	// Peers takes datagrams and requests of other VMs.
	Peers string
	// Admin takes requests of operators and collectors.
	Admin string
}

// Depot says where the platform's store is.
type Depot struct {
	URL string
	// Touch is the time in which a VM has to notice that its connection to the
	// store went silent, and to catch up.
	Touch time.Duration
}

// Answers says how requests are answered.
type Answers struct {
	// Partial lets a search be answered at the goal of its route with the parts
	// that have arrived, if they suffice.
	Partial bool
	// ListLifetime is the time for which callers may keep a list of addresses.
	ListLifetime time.Duration
}

// Extra bounds what a service gets in addition to the first attempts, from all
// VMs together.
type RetryBudget struct {
	// Share is the number of extra attempts for each first one.
	Share float64
	// Slack is a number of extra attempts in each window beside that.
	Slack float64
	// Window is the time in which the bound holds.
	Window time.Duration
}

// Cost weighs what requests cost the operators against the time that they take.
type Cost struct {
	// Stay is the part of a route's goal that an answer may be expected to take
	// longer from a backend server of the VM's own availability zone.
	Stay float64
}

// Servers says how far the wishes of backend servers go.
type Servers struct {
	// Quiet bounds the time for which a backend server that asked for quiet gets no
	// requests from this VM.
	Quiet time.Duration
}

// Log says how the process logs.
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
)

// Values of settings that are either on or off.
const (
	on  = "on"
	off = "off"
)

// Load reads and checks the settings in the file at path. It fails if the file
// cannot be read, or with strict.Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "fwconf: load")
	}
	return Parse(data)
}

// Parse reads and checks settings. It fails with strict.Faults, which list
// everything that is wrong.
func Parse(data []byte) (*Settings, error) {
	file := strict.Parse(data)
	s := &Settings{
		VM:          readVM(file.Section("vm", true)),
		Listen:      readListen(file.Section("listen", true)),
		Depot:       readDepot(file.Section("depot", true)),
		Answers:     readAnswers(file.Section("answers", false)),
		RetryBudget: readExtra(file.Section("extra", false)),
		Cost:        readCost(file.Section("cost", false)),
		Servers:     readServers(file.Section("servers", false)),
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

func readExtra(section *strict.Section) RetryBudget {
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

func readLog(section *strict.Section) Log {
	return Log{Level: section.Level("level")}
}
