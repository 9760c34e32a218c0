package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/lab/soak"
)

// startReadingSettings starts the program with a named pipe as its settings file and the
// given output, or none. It returns once the program has opened the pipe; writeSettings writes
// the settings.
func startReadingSettings(t *testing.T, output *os.File) (process *exec.Cmd, writeSettings func(text string)) {
	t.Helper()
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "samphirestair"), filepath.Join(dir, "vm.ini")
	built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(built))
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	process = exec.Command(program, "forward", "--settings", settings)
	if output != nil {
		process.Stdout = output
	}
	require.NoError(t, process.Start())
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	return process, func(text string) {
		_, err := pipe.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, pipe.Close())
	}
}

// waitForExit waits until the process ends, and kills it after 20 s.
func waitForExit(t *testing.T, process *exec.Cmd) *os.ProcessState {
	t.Helper()
	timer := time.AfterFunc(20*time.Second, func() { _ = process.Process.Kill() })
	defer timer.Stop()
	// The returned state shows how the process ended.
	_ = process.Wait()
	return process.ProcessState
}

func settingsText() string {
	var text strings.Builder
	text.WriteString("[vm]\nid = vm-1\nzone = z\nstop = 1s\n[listen]\n")
	for i, key := range []string{"callers", "directory", "ready", "peers", "admin"} {
		fmt.Fprintf(&text, "%s = 127.%d.%d.9:%d\n", key, 128+os.Getpid()%64, os.Getpid()/64%250, 7200+i)
	}
	text.WriteString("[depot]\nurl = http://127.0.0.1:1\n[answers]\nlifetime = 100ms\n")
	return text.String()
}

// Guards against a reload or stop signal that ends a process while it starts. The stop is
// carried out after the start.
func TestSignalsDuringStart(t *testing.T) {
	process, writeSettings := startReadingSettings(t, nil)
	require.NoError(t, process.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	writeSettings(settingsText())
	state := waitForExit(t, process)
	require.True(t, state.Success(), state.String())
}

// Guards against a process that ends, and cuts off its requests, because nobody reads its log
// any more.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	reader, output, err := os.Pipe()
	require.NoError(t, err)
	process, writeSettings := startReadingSettings(t, output)
	require.NoError(t, output.Close())
	require.NoError(t, reader.Close())
	writeSettings(settingsText())
	time.Sleep(500 * time.Millisecond)
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	state := waitForExit(t, process)
	require.True(t, state.Success(), state.String())
}

// Guards against a reload signal that ends a process before its Go runtime starts. The
// program ignores SIGHUP from the moment it is loaded until it catches it.
func TestHangupBeforeRuntimeStarts(t *testing.T) {
	const tries = 100
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "samphirestair"), filepath.Join(dir, "vm.ini")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	for range tries {
		process := exec.Command(program, "forward", "--settings", settings)
		require.NoError(t, process.Start())
		ignored, caught := false, false
		for !ignored && !caught {
			ignored, caught = soak.Disposition(process.Process.Pid, syscall.SIGHUP)
		}
		if ignored {
			require.NoError(t, process.Process.Signal(syscall.SIGHUP))
			require.Eventually(t, func() bool {
				_, caught = soak.Disposition(process.Process.Pid, syscall.SIGHUP)
				return caught
			}, 10*time.Second, time.Millisecond, "the process ended")
		}
		require.NoError(t, process.Process.Kill())
		require.Error(t, process.Wait())
		if ignored {
			return
		}
	}
	require.Fail(t, "no process was seen to ignore SIGHUP before it caught it")
}
