package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
)

// stopSignals is a series of signals to a process that drains after a SIGTERM.
type stopSignals struct {
	Name string `json:"name"`
	// Before are sent before the SIGTERM, and Signals while the process drains.
	Before  []string `json:"before"`
	Signals []string `json:"signals"`
}

// TestSignalsWhileDraining guards against a draining process that a further signal ends at once, with the requests
// that it still has.
func TestSignalsWhileDraining(t *testing.T) {
	text, err := os.ReadFile("testdata/stop-signals.json")
	if err != nil {
		t.Fatal(err)
	}
	var series []stopSignals
	if err := json.Unmarshal(text, &series); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"node", "platform"} {
		for _, s := range series {
			t.Run(command+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				s.run(t, command)
			})
		}
	}
}

// TestSignalsUntilProcessIsGone guards against a process that has drained and that a further signal ends before it
// reports its exit status.
func TestSignalsUntilProcessIsGone(t *testing.T) {
	const rounds = 10
	for i := range rounds {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			cmd, lines := startNode(t, "node")
			awaitLine(t, lines, "Started.")
			sendSignal(t, cmd, syscall.SIGTERM)
			awaitLine(t, lines, "Drained.")
			go signalUntilDone(cmd.Process)
			readToEnd(lines)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the process ended with %v", err)
			}
		})
	}
}

// signalUntilDone sends SIGTERM to the process until another goroutine has waited for its end.
func signalUntilDone(process *os.Process) {
	for process.Signal(syscall.SIGTERM) == nil {
		runtime.Gosched()
	}
}

var signalNumbers = map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM}

// run sends the signals to a node that is run by the command.
func (s *stopSignals) run(t *testing.T, command string) {
	cmd, lines := startNode(t, command)
	awaitLine(t, lines, "Started.")
	for _, name := range s.Before {
		sendSignal(t, cmd, signalNumbers[name])
		awaitLine(t, lines, "The settings were read again.")
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitLine(t, lines, "Draining.")
	for _, name := range s.Signals {
		sendSignal(t, cmd, signalNumbers[name])
	}
	awaitLine(t, lines, "Drained.")
	readToEnd(lines)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// startNode starts a node as a process, and returns it with the lines of its log.
func startNode(t *testing.T, command string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	cmd := exec.CommandContext(ctx, "marigoldrelay", command, "--settings", writeStopSettings(t, command))
	logs, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = output.Close()
	t.Cleanup(func() {
		cancel()
		_, _ = io.Copy(io.Discard, logs)
		// A process that the test has waited for is not there any more.
		_ = cmd.Wait()
	})
	return cmd, bufio.NewScanner(logs)
}

// writeStopSettings writes the settings of a node whose drain is short, and returns the path of the file.
func writeStopSettings(t *testing.T, command string) string {
	t.Helper()
	const grace = 1500 * time.Millisecond
	addresses, err := demonstrator.FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	settings := map[string]any{
		"name": "n1", "data-centre": "d1", "region": "r1", "caller-address": addresses[1], "peer-address": addresses[2],
		"control-address": addresses[3], "admin-address": addresses[4], "trust-network": true, "log-level": "info",
	}
	if command == "platform" {
		settings = map[string]any{
			"platform-address": addresses[0], "bounds": map[string]any{"grace_s": grace.Seconds()},
			"control-bytes-per-second": 7000, "node": settings,
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func sendSignal(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Error(fmt.Errorf("sending %s: %w", signal, err))
	}
}

// awaitLine reads lines until one contains the text.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	last := ""
	for lines.Scan() {
		last = lines.Text()
		if strings.Contains(last, text) {
			return
		}
	}
	t.Errorf("the process ended before the line %q; its last one is %q", text, last)
}

// readToEnd reads the remaining lines, which end with the process.
func readToEnd(lines *bufio.Scanner) {
	for lines.Scan() {
	}
}
