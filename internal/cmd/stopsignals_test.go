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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
)

// stopSignals is a series of signals to a process that drains after a SIGTERM.
type stopSignals struct {
	Name    string   `json:"name"`
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
	numbers := map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM}
	for _, s := range series {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			cmd, lines := startPlatformNode(t)
			awaitLine(t, lines, "Started.")
			sendSignal(t, cmd, syscall.SIGTERM)
			awaitLine(t, lines, "Draining.")
			for _, name := range s.Signals {
				sendSignal(t, cmd, numbers[name])
			}
			awaitLine(t, lines, "Drained.")
			readToEnd(lines)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the process ended with %v", err)
			}
		})
	}
}

// startPlatformNode starts a node on the users' platform as a process, and returns it with the lines of its log.
func startPlatformNode(t *testing.T) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	cmd := exec.CommandContext(ctx, "marigoldrelay", "platform", "--settings", writePlatformSettings(t))
	cmd.Stderr = os.Stderr
	logs, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_, _ = io.Copy(io.Discard, logs)
		// A process that the test has waited for is not there any more.
		_ = cmd.Wait()
	})
	return cmd, bufio.NewScanner(logs)
}

// writePlatformSettings writes the settings of a node whose drain is short, and returns the path of the file.
func writePlatformSettings(t *testing.T) string {
	t.Helper()
	const grace = 1500 * time.Millisecond
	addresses, err := demonstrator.FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{
		"platform-address": addresses[0], "bounds": map[string]any{"grace_s": grace.Seconds()}, "control-bytes-per-second": 7000,
		"node": map[string]any{
			"name": "n1", "data-centre": "d1", "region": "r1", "caller-address": addresses[1], "peer-address": addresses[2],
			"control-address": addresses[3], "admin-address": addresses[4], "trust-network": true, "log-level": "info",
		},
	})
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
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Errorf("the process ended before the line %q", text)
}

// readToEnd reads the remaining lines, which end with the process.
func readToEnd(lines *bufio.Scanner) {
	for lines.Scan() {
	}
}
