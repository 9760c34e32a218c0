package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// VM is one process of the system, started as deploy/system.toml says.
type VM struct {
	ID, Zone                                string
	Front, Directory, Ready, Peers, AdminAt string
	Dir                                     string
	Program                                 string
	StoreURL                                string
	Extra                                   string

	cmd  *exec.Cmd
	done chan error
}

// Ports of processes lie below those that the system gives to outgoing connections.
const firstPort, ports = 20000, 10000

// FreePort returns a port that is free on the loopback address, for TCP and UDP.
func FreePort() int {
	for {
		port := firstPort + rand.IntN(ports)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
}

// NewVM returns a VM that is not started. dir is a temporary folder.
func NewVM(id, zone, dir, storeURL string) *VM {
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", FreePort()) }
	program := os.Getenv("PROGRAM")
	if program == "" {
		program = "target/samphirestair"
	}
	return &VM{
		ID: id, Zone: zone, Dir: dir, StoreURL: storeURL, Program: program,
		Front: at(), Directory: at(), Ready: at(), Peers: at(), AdminAt: at(),
	}
}

// Settings returns the settings file, as deploy/tier.ini yields it for a small deployment.
func (v *VM) Settings() string {
	return fmt.Sprintf(`[vm]
id = %s
zone = %s
memory = 284
cores = 0.4
stop = 6s

[listen]
callers = %s
directory = %s
ready = %s
peers = %s
admin = %s

[depot]
url = http://%s
touch = 4000ms

[answers]
partial = on
lifetime = 5s

[extra]
share = 0.2
slack = 56
window = 10s
%s`, v.ID, v.Zone, v.Front, v.Directory, v.Ready, v.Peers, v.AdminAt, v.StoreURL, v.Extra)
}

// Start starts the process.
func (v *VM) Start() error {
	file := filepath.Join(v.Dir, v.ID+".ini")
	if err := os.WriteFile(file, []byte(v.Settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.Dir, v.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(v.Program, "forward", "--settings", file)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan error, 1)
	go func() {
		v.done <- v.cmd.Wait()
		_ = log.Close()
	}()
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (v *VM) Kill() {
	if v.cmd != nil {
		v.Signal(syscall.SIGKILL)
		v.Wait(5 * time.Second)
	}
}

// Wait waits for the end of the process and reports whether it has ended.
func (v *VM) Wait(d time.Duration) bool {
	select {
	case err := <-v.done:
		v.done <- err
		return true
	case <-time.After(d):
		return false
	}
}

// IsReady asks the process whether it is ready.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Admin returns a page of the process's admin port.
func (v *VM) Admin(path string) string {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.AdminAt + path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return string(body)
}

// Log returns what the process wrote.
func (v *VM) Log() string {
	text, _ := os.ReadFile(filepath.Join(v.Dir, v.ID+".log"))
	return string(text)
}

// WaitFor waits until a condition holds.
func WaitFor(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Config builds a configuration.
type Config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
	Limits   map[string]any   `json:"limits"`
}

// NewConfig returns a configuration without routes.
func NewConfig(version int, services ...string) *Config {
	c := &Config{Version: version, Limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{"name": s, "maxConns": 110, "warmupS": 0, "warmupPerS": 0, "healthPath": "/healthz"})
	}
	return c
}

// Route adds a route to one service.
func (c *Config) Route(name, prefix, kind, service string, attempts int, timeout time.Duration) *Config {
	c.Routes = append(c.Routes, map[string]any{
		"name": name, "hostname": "pupu76.example", "pathPrefix": prefix, "type": kind, "maxAttempts": attempts,
		"timeoutMs": timeout.Milliseconds(), "goalMs": 400, "priority": 1, "backend": service,
	})
	return c
}

// Gather adds a route over many shards.
func (c *Config) Gather(name, prefix string, shards []string, top int, coverage float64, timeout time.Duration) *Config {
	c.Routes = append(c.Routes, map[string]any{
		"name": name, "hostname": "pupu76.example", "pathPrefix": prefix, "type": "idempotent", "maxAttempts": 2,
		"timeoutMs": timeout.Milliseconds(), "goalMs": 100, "priority": 1, "gather": shards, "topK": top, "minCoverage": coverage,
	})
	return c
}

// MatchingLines returns the lines of a text that contain one of some words.
func MatchingLines(text string, words ...string) (matching []string) {
	for line := range strings.Lines(text) {
		for _, word := range words {
			if strings.Contains(line, word) {
				matching = append(matching, strings.TrimSpace(line))
				break
			}
		}
	}
	return matching
}

// PID returns the id of the process.
func (v *VM) PID() int { return v.cmd.Process.Pid }
