package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	soakReplicas = 3
	// changePause is the time between two changes of the soak's operator, changeTime bounds one try.
	changePause = 150 * time.Millisecond
	changeTime  = 2 * time.Second
)

var versionForm = regexp.MustCompile(`version (\d+) is in force`)

// operator changes the document while processes break, and sends each change until it is acknowledged.
type operator struct {
	*soak
	document string
	// acknowledged is the newest version.
	acknowledged uint64
}

// first makes version 1 on the replicas' disks.
func (o *operator) first() {
	text, err := os.ReadFile("testdata/soak.jsonc")
	if err != nil {
		o.t.Fatal(err)
	}
	document, err := validator.Parse(text)
	if err != nil {
		o.t.Fatal(err)
	}
	for i := range soakReplicas {
		status, err := nodeStatus(o.places[i].admin.String())
		if err != nil {
			o.t.Fatal(err)
		}
		document.ControlReplicas = append(document.ControlReplicas, validator.ControlReplica{DiskID: status.DiskID, VM: status.Name})
	}
	data, err := json.Marshal(document)
	if err != nil {
		o.t.Fatal(err)
	}
	o.document = filepath.Join(o.folder, "next.jsonc")
	if err := os.WriteFile(o.document, data, 0o600); err != nil {
		o.t.Fatal(err)
	}
	if err := o.change("change-0", "--first"); err != nil {
		o.t.Fatal(err)
	}
}

// run makes changes until ctx is done.
func (o *operator) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if err := o.change(fmt.Sprintf("change-%d", n), "--base", strconv.FormatUint(o.acknowledged, 10)); err != nil {
			o.t.Error(err)
			return
		}
		time.Sleep(changePause)
	}
}

// change sends a change to one node after the other until one acknowledges it. The version must follow the
// one before.
func (o *operator) change(id string, base ...string) error {
	deadline := time.Now().Add(awaitTime)
	for {
		place := o.places[o.draw(len(o.places))]
		args := append([]string{
			"config", "set", "--admin", place.admin.String(), "--token-file", "secret", "--change-id", id,
		}, base...)
		ctx, cancel := context.WithTimeout(context.Background(), changeTime)
		command := exec.CommandContext(ctx, "marigoldrelay", append(args, o.document)...)
		command.Dir = o.folder
		out, err := command.CombinedOutput()
		cancel()
		if match := versionForm.FindSubmatch(out); err == nil && match != nil {
			version, _ := strconv.ParseUint(string(match[1]), 10, 64)
			if version != o.acknowledged+1 {
				return fmt.Errorf("seed %d: %s made version %d after %d", *soakSeed, id, version, o.acknowledged)
			}
			o.acknowledged = version
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("seed %d: %s is not acknowledged after %s: %s", *soakSeed, id, awaitTime, out)
		}
	}
}

// watch fails when a process ever goes back to an older version.
func (o *operator) watch(ctx context.Context) {
	type seen struct{ incarnation, version uint64 }
	newest := make(map[string]seen)
	for ctx.Err() == nil {
		for _, place := range o.places {
			status, err := nodeStatus(place.admin.String())
			if err != nil {
				continue
			}
			now, before := seen{status.Incarnation, status.DocumentVersion}, newest[place.name]
			if now.incarnation == before.incarnation && now.version < before.version {
				o.t.Errorf("seed %d: %s went from version %d to %d", *soakSeed, place.name, before.version, now.version)
			}
			newest[place.name] = now
		}
		time.Sleep(changePause)
	}
}

// settled waits until every node has the newest acknowledged version in force.
func (o *operator) settled() {
	for _, place := range o.places {
		deadline := time.Now().Add(awaitTime)
		for {
			status, err := nodeStatus(place.admin.String())
			if err == nil && status.DocumentVersion == o.acknowledged {
				break
			}
			if time.Now().After(deadline) {
				o.t.Fatalf("seed %d: %s has not version %d in force after %s: %+v, %v", *soakSeed, place.name, o.acknowledged, awaitTime, status, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
