package chaos

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/conf/svcdoc"
	"github.com/samphirestair/samphirestair/internal/conf/vmconf"
)

// Folder is the path of a run's folder in the layout of scripts/lib: NAME.ini
// holds the settings of VM NAME, NAME.pid the id of its process, NAME.hold delays
// the replacement of that process, and documents holds the service documents.
type Folder string

var _ Processes = Folder("")

// VMs returns the VMs of the run and the addresses of their admin listeners.
func (f Folder) VMs() ([]VM, map[ident.VMID]string, error) {
	names, err := filepath.Glob(f.path("vm-*.ini"))
	if err != nil {
		return nil, nil, errors.Wrap(err, "chaos: settings")
	}
	var vms []VM
	admins := map[ident.VMID]string{}
	for _, name := range names {
		settings, err := vmconf.Load(name, vmconf.Options{})
		if err != nil {
			return nil, nil, errors.Wrapf(err, "chaos: %s", name)
		}
		vm := VM{ID: settings.VM.ID, Zone: settings.VM.Zone, IP: settings.VM.IP, Address: settings.CallerAddress()}
		vms = append(vms, vm)
		admins[vm.ID] = settings.AdminAddress()
	}
	if len(vms) == 0 {
		return nil, nil, errors.Newf("chaos: no VM settings in %s", string(f))
	}
	return vms, admins, nil
}

// Documents returns the service documents of the run.
func (f Folder) Documents() ([]*svcdoc.Document, error) {
	names, err := filepath.Glob(f.path("documents", "*.ini"))
	if err != nil {
		return nil, errors.Wrap(err, "chaos: documents")
	}
	var documents []*svcdoc.Document
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "chaos: documents")
		}
		document, err := svcdoc.Parse(data)
		if err != nil {
			return nil, errors.Wrapf(err, "chaos: %s", name)
		}
		documents = append(documents, document)
	}
	if len(documents) == 0 {
		return nil, errors.Newf("chaos: no service documents in %s", string(f))
	}
	return documents, nil
}

// Find implements Processes.
func (f Folder) Find(vm ident.VMID) (PID, error) {
	data, err := os.ReadFile(f.path(string(vm) + ".pid"))
	if err != nil {
		return 0, errors.Wrap(err, "chaos: find the process")
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return 0, errors.Wrapf(err, "chaos: process id of %s", vm)
	}
	if !f.owns(PID(id), vm) {
		return 0, errors.Newf("chaos: no process of %s runs", vm)
	}
	return PID(id), nil
}

// owns reports whether a process is that of a VM of this run. It is needed because
// the operating system may have reused the id in the file for another process.
func (f Folder) owns(pid PID, vm ident.VMID) bool {
	line, err := os.ReadFile(procPath(pid, "cmdline"))
	return err == nil && bytes.Contains(line, []byte(f.path(string(vm)+".ini")))
}

// Signal implements Processes.
func (f Folder) Signal(pid PID, signal syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(int(pid), signal), "chaos: signal %v to %d", signal, pid)
}

// Runs implements Processes. A zombie process, which has ended but was not waited
// for, has an empty command line and doesn't run.
func (f Folder) Runs(pid PID) bool {
	line, err := os.ReadFile(procPath(pid, "cmdline"))
	return err == nil && len(line) > 0
}

// DelayReplacement implements Processes. The replacement is delayed while the
// file NAME.hold exists.
func (f Folder) DelayReplacement(vm ident.VMID, on bool) error {
	name := f.path(string(vm) + ".hold")
	if on {
		return errors.Wrap(os.WriteFile(name, nil, 0o600), "chaos: delay replacement")
	}
	if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "chaos: delay replacement")
	}
	return nil
}

func (f Folder) path(parts ...string) string {
	return filepath.Join(append([]string{string(f)}, parts...)...)
}

// procPath returns the path of a file of a process in /proc.
func procPath(pid PID, name string) string {
	return filepath.Join("/proc", strconv.Itoa(int(pid)), name)
}
