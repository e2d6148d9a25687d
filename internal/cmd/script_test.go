package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	awaitTimeout = 30 * time.Second
	testSecret   = "a-secret-for-tests-only"
)

// testProgram is the name under which the tests start this program.
const testProgram = "marigoldrelay"

func TestMain(m *testing.M) {
	if filepath.Base(os.Args[0]) != testProgram {
		// The processes that tests start would inherit that SIGHUP is ignored, as it is under nohup, and not end with it. A
		// signal that is caught has its default action in them.
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
	testscript.Main(m, map[string]func(){
		testProgram: func() { os.Exit(Main(os.Args)) },
	})
}

// TestScripts runs the program in separate processes, as a user does.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await-alive":    awaitAlive,
			"await-serving":  awaitServing,
			"await-version":  awaitVersion,
			"check-outcomes": checkOutcomes,
			"check-ran":      checkRan,
			"deployment":     writeDeployment,
			"pause":          pause,
			"truncate":       truncate,
			"write-document": writeDocument,
		},
	})
}

// nodeAddresses holds the name and the addresses of a node in a test.
type nodeAddresses struct {
	name                                   string
	admin, announce, caller, control, peer netip.AddrPort
}

// writeDeployment implements the command "deployment COUNT [NODE...]". It writes the settings of COUNT nodes,
// called n1 and so on, and sets variables such as n1_caller to their addresses. The named nodes have a data
// folder.
func writeDeployment(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	nodes, err := writeSettings(ts.MkAbs("."), count, args[1:], "warn")
	ts.Check(err)
	for _, node := range nodes {
		for part, address := range map[string]netip.AddrPort{
			"admin": node.admin, "announce": node.announce, "caller": node.caller, "control": node.control, "peer": node.peer,
		} {
			ts.Setenv(node.name+"_"+part, address.String())
		}
	}
}

// writeSettings writes the settings of nodes, called n1 and so on, into a folder. If the folder holds
// document.jsonc, the settings name it as the document file. Nodes named in replicas have a data folder. The
// nodes log from the level on, without a limit that a test reaches.
func writeSettings(folder string, count int, replicas []string, level string) ([]nodeAddresses, error) {
	if err := os.WriteFile(filepath.Join(folder, "secret"), []byte(testSecret), 0o600); err != nil {
		return nil, err
	}
	const addressesPerNode = 5
	all, err := demonstrator.FreeAddresses(addressesPerNode * count)
	if err != nil {
		return nil, err
	}
	for i := range all {
		all[i] = netip.AddrPortFrom(processHost(), all[i].Port())
	}
	seeds := []netip.AddrPort{all[3], all[addressesPerNode*min(1, count-1)+3]}
	var nodes []nodeAddresses
	for i := 1; i <= count; i++ {
		a := all[addressesPerNode*(i-1) : addressesPerNode*i]
		node := nodeAddresses{fmt.Sprintf("n%d", i), a[0], a[1], a[2], a[3], a[4]}
		settings := map[string]any{
			"admin-address": node.admin, "admin-token-file": "secret", "announce-address": node.announce,
			"caller-address": node.caller, "control-address": node.control,
			"data-centre": fmt.Sprintf("dc%d", i%2), "name": node.name,
			"log-level": level, "peer-address": node.peer, "peer-key-file": "secret", "region": "r1",
			"seeds": seeds, "log-lines-per-second": 100000,
		}
		if _, err := os.Stat(filepath.Join(folder, "document.jsonc")); err == nil {
			settings["document-file"] = "document.jsonc"
		}
		if slices.Contains(replicas, node.name) {
			settings["data-folder"] = "data-" + node.name
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(folder, node.name+".jsonc"), data, 0o600); err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

// processHost returns a loopback address that other processes' tests don't use, so that they don't take the ports of a
// node that is down.
func processHost() netip.Addr {
	const firstBlock = 64
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, firstBlock + byte(pid>>16), byte(pid >> 8), byte(pid)})
}

// nodeStatus reads the status of the node with the given administration address.
func nodeStatus(address string) (*relayer.Status, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	client := &adminClient{pool: forwarder.New(parsed, timekeeper.System{}), token: testSecret}
	resp, err := client.do(context.Background(), fasthttp.MethodGet, administrator.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	var status relayer.Status
	return &status, json.Unmarshal(resp.Body(), &status)
}

// awaitServing implements the command "await-serving COUNT ADDRESS". It waits until the node with that
// administration address lists exactly COUNT serving members.
func awaitServing(ts *testscript.TestScript, _ bool, args []string) {
	awaitMembers(ts, args, func(m *gossiper.Member) bool { return m.IsServing() })
}

// awaitAlive implements the command "await-alive COUNT ADDRESS". It waits until the node with that
// administration address lists exactly COUNT members as alive.
func awaitAlive(ts *testscript.TestScript, _ bool, args []string) {
	awaitMembers(ts, args, func(m *gossiper.Member) bool { return m.Status == gossiper.StatusAlive })
}

func awaitMembers(ts *testscript.TestScript, args []string, matches func(*gossiper.Member) bool) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	found := -1
	var failure error
	for time.Now().Before(deadline) {
		status, err := nodeStatus(args[1])
		failure = err
		if err == nil {
			found = 0
			for i := range status.Members {
				if matches(&status.Members[i]) {
					found++
				}
			}
			if found == want {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%d members found, want %d; last error: %v", found, want, failure)
}

// awaitVersion implements the command "await-version VERSION ADDRESS". It waits until VERSION is in force at
// the node with that administration address, and fails if the node's version ever decreases.
func awaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	newest := uint64(0)
	for time.Now().Before(deadline) {
		if status, err := nodeStatus(args[1]); err == nil {
			if status.DocumentVersion < newest {
				ts.Fatalf("version %d after %d", status.DocumentVersion, newest)
			}
			newest = status.DocumentVersion
			if newest == want {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("version %d is in force, want %d", newest, want)
}

// writeDocument implements the command "write-document FILE DEADLINE [NODE...]". It writes a document in which
// every route has the deadline and whose control replicas are the named nodes with their current disks.
func writeDocument(ts *testscript.TestScript, _ bool, args []string) {
	document, err := demonstrator.Document()
	ts.Check(err)
	deadline, err := time.ParseDuration(args[1])
	ts.Check(err)
	for i := range document.Routes {
		document.Routes[i].Deadline = validator.Duration(deadline)
	}
	for _, name := range args[2:] {
		status, err := nodeStatus(ts.Getenv(name + "_admin"))
		ts.Check(err)
		document.ControlReplicas = append(document.ControlReplicas, validator.ControlReplica{DiskID: status.DiskID, VM: name})
	}
	data, err := json.MarshalIndent(document, "", "  ")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), append([]byte("// Written by a test.\n"), data...), 0o600))
}

// truncate implements the command "truncate FILE". It removes the last byte of the file.
func truncate(ts *testscript.TestScript, _ bool, args []string) {
	info, err := os.Stat(ts.MkAbs(args[0]))
	ts.Check(err)
	ts.Check(os.Truncate(ts.MkAbs(args[0]), info.Size()-1))
}

// pause implements the command "pause DURATION".
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// checkOutcomes implements the command "check-outcomes FILE [JOURNAL...]". It compares an outcomes file with
// the journals of all upstreams: no POST ran more than once, no request that was reported as not run did run,
// every answered request ran, and no answer was wrong.
func checkOutcomes(ts *testscript.TestScript, _ bool, args []string) {
	ran := readJournals(ts, args[1:])
	file, err := os.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer func() { _ = file.Close() }()
	lines := 0
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		lines++
		checkOutcome(ts, scanner.Text(), ran)
	}
	ts.Check(scanner.Err())
	if lines == 0 {
		ts.Fatalf("no outcomes")
	}
}

// readJournals returns how often each request ran according to the journals.
func readJournals(ts *testscript.TestScript, paths []string) map[string]int {
	ran := make(map[string]int)
	for _, path := range paths {
		counts, err := responder.ReadJournal(ts.MkAbs(path))
		ts.Check(err)
		for id, count := range counts {
			ran[id] += count
		}
	}
	return ran
}

func checkOutcome(ts *testscript.TestScript, line string, ran map[string]int) {
	ts.Check(outcomeError(line, ran))
}

// outcomeError returns an error if an outcome line contradicts ran, which holds how often each request ran.
func outcomeError(line string, ran map[string]int) error {
	fields := strings.Fields(line)
	id, method := fields[0], fields[1]
	switch {
	case method == fasthttp.MethodPost && ran[id] > 1:
		return fmt.Errorf("ran %d times: %s", ran[id], line)
	case strings.HasSuffix(line, "not-run=true") && ran[id] > 0:
		return fmt.Errorf("ran although it was reported as not run: %s", line)
	case strings.HasSuffix(line, "answered") && ran[id] == 0:
		return fmt.Errorf("answered but did not run: %s", line)
	case strings.HasSuffix(line, "wrong"):
		return fmt.Errorf("wrong answer: %s", line)
	default:
		return nil
	}
}

// checkRan implements the command "check-ran at-least|at-most BOUND JOURNAL". It compares the number of lines
// in a journal with the bound.
func checkRan(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := strconv.Atoi(args[1])
	ts.Check(err)
	counts, err := responder.ReadJournal(filepath.Clean(ts.MkAbs(args[2])))
	ts.Check(err)
	total := 0
	for _, count := range counts {
		total += count
	}
	if (args[0] == "at-least" && total < bound) || (args[0] == "at-most" && total > bound) {
		ts.Fatalf("%d requests ran, want %s %d", total, args[0], bound)
	}
}
