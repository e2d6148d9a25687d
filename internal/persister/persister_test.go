package persister_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

const folderPath = "/data/register"

// recordLog holds what a record may contain: the content of the last write that was acknowledged, and those of the
// writes after it, whose outcome is unknown. Nil stands for a record that was never written.
type recordLog map[string][]*string

// start adds a write that has begun.
func (r recordLog) start(name, content string) {
	if r[name] == nil {
		r[name] = []*string{nil}
	}
	r[name] = append(r[name], &content)
}

// acknowledge marks the last write of the record as durable.
func (r recordLog) acknowledge(name string) {
	r[name] = r[name][len(r[name])-1:]
}

// allows reports whether the record may contain the content.
func (r recordLog) allows(name string, content *string) bool {
	return slices.ContainsFunc(r[name], func(allowed *string) bool {
		if allowed == nil || content == nil {
			return allowed == content
		}
		return *allowed == *content
	})
}

// write makes one version of two records and notes which of the writes were acknowledged. It stops at the first error.
func (r recordLog) write(folder *persister.Folder, version int) error {
	for _, name := range []string{"accepted", "promise"} {
		content := fmt.Sprintf("version %d of %s", version, name)
		r.start(name, content)
		if err := folder.Write(name, []byte(content)); err != nil {
			return err
		}
		r.acknowledge(name)
	}
	return nil
}

// check opens the folder and compares the records with the log.
func (r recordLog) check(disk *diskfaker.Disk) error {
	folder, err := persister.Open(folderPath, persister.WithFileSystem(disk))
	if err != nil {
		return err
	}
	empty, err := folder.IsEmpty()
	if err != nil {
		return err
	}
	for name, contents := range r {
		if empty && contents[0] != nil {
			return fmt.Errorf("the folder is empty and lacks %q", *contents[0])
		}
		if err := r.checkRecord(folder, name); err != nil {
			return err
		}
	}
	return nil
}

func (r recordLog) checkRecord(folder *persister.Folder, name string) error {
	data, err := folder.Read(name)
	var content *string
	if err == nil {
		text := string(data)
		content = &text
	}
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	if !r.allows(name, content) {
		return fmt.Errorf("record %s: read %q, %w", name, data, err)
	}
	return nil
}

// cutPower returns a function for SetBeforeOperation that cuts the power before the operation with the given index, and
// sets reached if there was one.
func cutPower(index int, reached *bool) func(diskfaker.Operation) error {
	count := 0
	return func(diskfaker.Operation) error {
		if count == index {
			*reached = true
			return diskfaker.ErrNoPower
		}
		count++
		return nil
	}
}

// outcomes enumerates the sequences of choices of a disk's losses of power, one for each call of next.
type outcomes struct {
	choices, limits []int
	position        int
}

// choose implements diskfaker.Chooser.
func (o *outcomes) choose(n int) int {
	if o.position == len(o.choices) {
		o.choices, o.limits = append(o.choices, 0), append(o.limits, n)
	}
	choice := o.choices[o.position]
	o.position++
	return choice
}

// next moves on to the next sequence and reports whether there is one.
func (o *outcomes) next() bool {
	o.position = 0
	for last := len(o.choices) - 1; last >= 0; last-- {
		o.choices[last]++
		if o.choices[last] < o.limits[last] {
			return true
		}
		o.choices, o.limits = o.choices[:last], o.limits[:last]
	}
	return false
}

// TestRecordsSurvivePowerLoss cuts the power before each operation of a sequence of writes to a new folder, tries every
// outcome for what was not synced, and checks that each record has the content of its last acknowledged write, or of
// the write that was interrupted.
func TestRecordsSurvivePowerLoss(t *testing.T) {
	cases := 0
	reached := true
	for index := 0; reached; index++ {
		tried := &outcomes{}
		for more := true; more; more = tried.next() {
			reached = false
			disk, log := diskfaker.New(), recordLog{}
			disk.SetBeforeOperation(cutPower(index, &reached))
			writeVersions(disk, log, 1, 3)
			disk.SetBeforeOperation(nil)
			disk.LosePower(tried.choose)
			if err := log.check(disk); err != nil {
				t.Fatalf("power lost before operation %d with outcomes %v: %v", index, tried.choices, err)
			}
			cases++
		}
	}
	t.Logf("%d cases", cases)
}

// writeVersions opens the folder and writes versions from first to last, until an error.
func writeVersions(disk *diskfaker.Disk, log recordLog, first, last int) {
	folder, err := persister.Open(folderPath, persister.WithFileSystem(disk))
	for version := first; err == nil && version <= last; version++ {
		err = log.write(folder, version)
	}
}

// TestRecordsSurviveRepeatedFaults runs writes on a disk that now and then refuses an operation, in parts or for a
// while, is killed and loses its power, and checks the records after each loss.
func TestRecordsSurviveRepeatedFaults(t *testing.T) {
	const (
		seeds     = 400
		losses    = 6
		versions  = 4
		operation = 60
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		disk, log := diskWithFolder(t), recordLog{}
		for loss := range losses {
			disk.SetBeforeOperation(randomFaults(random, operation))
			for attempt := range versions {
				writeVersions(disk, log, loss*versions+attempt, loss*versions+attempt)
			}
			disk.SetBeforeOperation(nil)
			if random.IntN(3) == 0 {
				// A killed process leaves the disk as it is.
				continue
			}
			disk.LosePower(random.IntN)
			if err := log.check(disk); err != nil {
				t.Fatalf("seed %d, loss %d: %v", seed, loss, err)
			}
		}
	}
}

// diskWithFolder returns a disk on which the folder exists and survives a loss of power.
func diskWithFolder(t *testing.T) *diskfaker.Disk {
	t.Helper()
	disk := diskfaker.New()
	folder, err := persister.Open(folderPath, persister.WithFileSystem(disk))
	if err == nil {
		err = folder.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

// randomFaults returns a function for SetBeforeOperation that cuts the power at some operation up to the limit, if
// there are so many, and makes the disk refuse operations at random for a part of them.
func randomFaults(random *rand.Rand, limit int) func(diskfaker.Operation) error {
	cut, refuseFrom := random.IntN(limit), random.IntN(limit)
	refuseUntil := refuseFrom + random.IntN(limit)
	count := -1
	return func(diskfaker.Operation) error {
		count++
		switch {
		case count == cut:
			return diskfaker.ErrNoPower
		case count >= refuseFrom && count < refuseUntil && random.IntN(3) > 0:
			return diskfaker.ErrRefused
		default:
			return nil
		}
	}
}
