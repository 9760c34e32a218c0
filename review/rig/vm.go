package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// vm is a machine of the system, which runs one process after the other.
type vm struct {
	name, zone              string
	front, directory, ready string
	settings                string
	program                 []string
	process                 *exec.Cmd
	exited                  chan struct{}
	logFile                 *os.File
}

// bounds are those of the small sites.
var bounds = map[string]string{
	"bounds.contactMs": "4000", "bounds.graceS": "6", "bounds.ttl_max_s": "5", "bounds.retryBudgetRatio": "0.2",
	"bounds.budgetSlack": "56", "bounds.budgetWindowS": "10", "limits.memoryMb": "284", "limits.cpuShare": "0.4",
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// Ports of a machine: those of the pages' example, and the fixed one of the template.
const (
	frontPort, directoryPort, readyPort, peersPort, adminPort = "8104", "8100", "8108", "7380", "9140"
)

// newVM renders the template of the deploy file for a machine on a loopback address.
func newVM(dir, name, zone, ip, storeAddress string) (*vm, error) {
	v := &vm{name: name, zone: zone, front: ip + ":" + frontPort, directory: ip + ":" + directoryPort, ready: ip + ":" + readyPort, settings: filepath.Join(dir, name+".ini")}
	values := map[string]string{
		"node": name, "zone": zone, "ip": ip, "listenAddrs.front": v.front, "listenAddrs.directory": v.directory, "listenAddrs.ready": v.ready,
		"internalPorts.0": peersPort, "platform.address": storeAddress,
	}
	template, err := os.ReadFile("deploy/forward.ini")
	if err != nil {
		return nil, err
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		key := strings.Trim(p, "{}")
		for _, m := range []map[string]string{values, bounds} {
			if value, ok := m[key]; ok {
				return value
			}
		}
		missing = fmt.Errorf("no value for %s in deploy/forward.ini", key)
		return ""
	})
	if missing != nil {
		return nil, missing
	}
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	run, err := deployedRun()
	if err != nil {
		return nil, err
	}
	for _, word := range run {
		if word == "/etc/samphirestair/boot.toml" {
			word = v.settings
		}
		v.program = append(v.program, word)
	}
	v.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	return v, err
}

// deployedRun returns the words of the role's command in the deploy file.
func deployedRun() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

func (v *vm) start() error {
	cmd := exec.Command(v.program[0], v.program[1:]...)
	cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// kill ends the process at once.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after graceS.
func (v *vm) stop() (exitedAfter time.Duration) {
	began := time.Now()
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(6 * time.Second):
		v.kill()
	}
	return time.Since(began)
}

// isReady asks the platform's readiness question.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// resolve asks the directory of the machine, as clients do.
func (v *vm) resolve(host string) ([]string, time.Duration) {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s/api/resolve?name=%s&region=fi-south&zone=%s", v.directory, host, v.zone))
	if err != nil {
		return nil, 0
	}
	defer func() { _ = r.Body.Close() }()
	var list struct {
		Addrs []string `json:"addrs"`
		TTLS  float64  `json:"ttl_s"`
	}
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&list) != nil {
		return nil, 0
	}
	return list.Addrs, time.Duration(list.TTLS * float64(time.Second))
}
