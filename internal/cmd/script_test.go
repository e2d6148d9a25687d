package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
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
	awaitTime  = 30 * time.Second
	testSecret = "a-secret-for-tests-only"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"marigoldrelay": func() { os.Exit(Main(os.Args)) },
	})
}

// TestScripts runs the program as separate processes, as a user would.
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

// place holds the addresses of one node of a test.
type place struct {
	name                                   string
	admin, announce, caller, control, peer netip.AddrPort
}

// writeDeployment writes the settings of n nodes, called n1 and so on, and sets variables such as
// n1_caller to their addresses. Further arguments name the nodes that have a data folder.
func writeDeployment(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	places, err := writeSettings(ts.MkAbs("."), count, args[1:])
	ts.Check(err)
	for _, p := range places {
		for part, address := range map[string]netip.AddrPort{
			"admin": p.admin, "announce": p.announce, "caller": p.caller, "control": p.control, "peer": p.peer,
		} {
			ts.Setenv(p.name+"_"+part, address.String())
		}
	}
}

// writeSettings writes the settings of nodes, called n1 and so on, into a folder. They follow a document
// that is there. Those named in replicas have a data folder.
func writeSettings(folder string, count int, replicas []string) ([]place, error) {
	if err := os.WriteFile(filepath.Join(folder, "secret"), []byte(testSecret), 0o600); err != nil {
		return nil, err
	}
	const each = 5
	all, err := demonstrator.FreeAddresses(each * count)
	if err != nil {
		return nil, err
	}
	seeds := []netip.AddrPort{all[3], all[each*min(1, count-1)+3]}
	var places []place
	for i := 1; i <= count; i++ {
		a := all[each*(i-1) : each*i]
		p := place{fmt.Sprintf("n%d", i), a[0], a[1], a[2], a[3], a[4]}
		settings := map[string]any{
			"admin-address": p.admin, "admin-token-file": "secret", "announce-address": p.announce,
			"caller-address": p.caller, "control-address": p.control,
			"data-centre": fmt.Sprintf("dc%d", i%2), "name": p.name,
			"log-level": "warn", "peer-address": p.peer, "peer-key-file": "secret", "region": "r1",
			"seeds": seeds,
		}
		if _, err := os.Stat(filepath.Join(folder, "document.jsonc")); err == nil {
			settings["document-file"] = "document.jsonc"
		}
		if slices.Contains(replicas, p.name) {
			settings["data-folder"] = "data-" + p.name
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(folder, p.name+".jsonc"), data, 0o600); err != nil {
			return nil, err
		}
		places = append(places, p)
	}
	return places, nil
}

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

// awaitServing waits until the node at an administration address sees so many serving members.
func awaitServing(ts *testscript.TestScript, _ bool, args []string) {
	awaitMembers(ts, args, func(m *gossiper.Member) bool { return m.IsServing() })
}

// awaitAlive waits until the node at an administration address sees so many members alive.
func awaitAlive(ts *testscript.TestScript, _ bool, args []string) {
	awaitMembers(ts, args, func(m *gossiper.Member) bool { return m.Status == gossiper.StatusAlive })
}

func awaitMembers(ts *testscript.TestScript, args []string, counts func(*gossiper.Member) bool) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	deadline := time.Now().Add(awaitTime)
	found := -1
	var failure error
	for time.Now().Before(deadline) {
		status, err := nodeStatus(args[1])
		failure = err
		if err == nil {
			found = 0
			for i := range status.Members {
				if counts(&status.Members[i]) {
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

// awaitVersion waits until the node at an administration address has the version in force, and
// fails when it ever goes back.
func awaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	deadline := time.Now().Add(awaitTime)
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

// writeDocument writes a document whose control replicas are the named nodes with the disks that
// they have now: write-document file deadline n1 n2 n3.
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

// truncate cuts the last byte off a file.
func truncate(ts *testscript.TestScript, _ bool, args []string) {
	info, err := os.Stat(ts.MkAbs(args[0]))
	ts.Check(err)
	ts.Check(os.Truncate(ts.MkAbs(args[0]), info.Size()-1))
}

func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// checkOutcomes compares an outcomes file with the journals of all upstreams: a POST ran at most
// once, one that was said not to have run did not, and an answered one ran.
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
	ts.Check(judge(line, ran))
}

// judge returns what is wrong with an outcome, given how often each request ran.
func judge(line string, ran map[string]int) error {
	fields := strings.Fields(line)
	id, method := fields[0], fields[1]
	switch {
	case method == fasthttp.MethodPost && ran[id] > 1:
		return fmt.Errorf("ran %d times: %s", ran[id], line)
	case strings.HasSuffix(line, "not-run=true") && ran[id] > 0:
		return fmt.Errorf("ran although it was said not to have: %s", line)
	case strings.HasSuffix(line, "answered") && ran[id] == 0:
		return fmt.Errorf("answered but did not run: %s", line)
	case strings.HasSuffix(line, "wrong"):
		return fmt.Errorf("wrong answer: %s", line)
	default:
		return nil
	}
}

// checkRan compares the number of lines in a journal with a bound: check-ran at-least 1 journal.
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
