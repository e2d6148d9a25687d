package leavekeeper_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const folderPath = "/data/leaves"

// entry returns the leave of a process of the upstream beside a node.
func entry(vm string, born int64) leavekeeper.Entry {
	return leavekeeper.Entry{Leave: announcer.Leave{Process: announcer.Process{Born: born, Instance: "i-" + vm}}, VM: vm}
}

// openRecord opens the record on a disk.
func openRecord(t *testing.T, disk *diskfaker.Disk) *leavekeeper.Record {
	t.Helper()
	folder, err := persister.Open(folderPath, persister.WithFileSystem(disk))
	if err != nil {
		t.Fatal(err)
	}
	record, err := leavekeeper.OpenRecord(timekeeper.System{}, folder)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// count returns the number of entries of a node, or of all nodes.
func count(t *testing.T, record *leavekeeper.Record, vm string) int {
	t.Helper()
	entries, err := record.Read(vm, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// TestStoredEntriesSurvivePowerLoss guards against a leave that is acknowledged before it is on the disk, also one of many that are
// written together.
func TestStoredEntriesSurvivePowerLoss(t *testing.T) {
	disk := diskfaker.New()
	record := openRecord(t, disk)
	var storing sync.WaitGroup
	for i := range 50 {
		storing.Go(func() {
			if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry(fmt.Sprint("vm-", i), 1)}, ReplicasRevision: 1}); err != nil {
				t.Error(err)
			}
		})
	}
	storing.Wait()
	disk.LosePower(func(int) int { return 0 })
	if got := count(t, openRecord(t, disk), ""); got != 50 {
		t.Errorf("%d entries are left of 50", got)
	}
}

// TestFailedWriteAcknowledgesNothing guards against a leave that counts as stored because it is in memory, after the write of an
// earlier request with it has failed.
func TestFailedWriteAcknowledgesNothing(t *testing.T) {
	disk := diskfaker.New()
	record := openRecord(t, disk)
	errFull := errors.New("the disk is full")
	disk.SetBeforeOperation(func(diskfaker.Operation) error { return errFull })
	for range 2 {
		if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry("vm", 1)}, ReplicasRevision: 1}); !errors.Is(err, errFull) {
			t.Errorf("on a full disk: %v", err)
		}
	}
	disk.SetBeforeOperation(nil)
	if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry("vm", 1)}, ReplicasRevision: 1}); err != nil {
		t.Error(err)
	}
	disk.LosePower(func(int) int { return 0 })
	if got := count(t, openRecord(t, disk), "vm"); got != 1 {
		t.Errorf("%d entries are left, want 1", got)
	}
}

// TestEarlierSetsAreRefused guards against a leave that is stored on replicas which have handed theirs over already, also after a loss
// of power.
func TestEarlierSetsAreRefused(t *testing.T) {
	disk := diskfaker.New()
	record := openRecord(t, disk)
	if _, err := record.Read("", 7); err != nil {
		t.Fatal(err)
	}
	disk.LosePower(func(int) int { return 0 })
	record = openRecord(t, disk)
	if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry("vm", 1)}, ReplicasRevision: 6}); !errors.Is(err, leavekeeper.ErrOtherSet) {
		t.Errorf("under an earlier set: %v", err)
	}
	if _, err := record.Read("vm", 6); !errors.Is(err, leavekeeper.ErrOtherSet) {
		t.Errorf("read under an earlier set: %v", err)
	}
	if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry("vm", 1)}, ReplicasRevision: 7}); err != nil {
		t.Errorf("under the set: %v", err)
	}
}

// TestRecordIsBounded guards against a record that grows with each replaced upstream, and against a full one that drops what it has
// acknowledged or that holds up a change of the replicas.
func TestRecordIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := openRecord(t, diskfaker.New())
		store := func(entries ...leavekeeper.Entry) error {
			return record.Store(leavekeeper.StoreRequest{Entries: entries})
		}
		refused := 0
		for born := range int64(100) {
			if errors.Is(store(entry("vm", 1+born)), leavekeeper.ErrFull) {
				refused++
			}
		}
		if got := count(t, record, "vm"); got < 4 || got > 50 || got+refused != 100 {
			t.Errorf("%d entries of one node are kept, %d were refused", got, refused)
		}
		var entries []leavekeeper.Entry
		for i := range 10000 {
			entries = append(entries, entry(fmt.Sprint("vm-", i), 1))
		}
		if err := store(entries...); !errors.Is(err, leavekeeper.ErrFull) {
			t.Errorf("10000 nodes: %v", err)
		}
		if err := store(entries[0]); err != nil {
			t.Errorf("an entry that is kept: %v", err)
		}
		if err := record.Store(leavekeeper.StoreRequest{Entries: entries, IsHandOver: true, ReplicasRevision: 2}); err != nil {
			t.Errorf("entries that are handed over: %v", err)
		}
		time.Sleep(leavekeeper.Retention + time.Second)
		if got := count(t, record, ""); got != 0 {
			t.Errorf("%d entries are read after the retention", got)
		}
		if err := store(entry("another", 1)); err != nil || record.Len() != 1 {
			t.Errorf("after the retention: %v, %d entries", err, record.Len())
		}
	})
}

// TestManyLeavesAreWrittenTogether guards against leaves that wait for a sync each, when the upstreams of a whole fleet leave in the
// same second: a call waits for a second.
func TestManyLeavesAreWrittenTogether(t *testing.T) {
	const leaving, syncTime = 651, 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		disk := diskfaker.New()
		record := openRecord(t, disk)
		syncs := 0
		disk.SetBeforeOperation(func(operation diskfaker.Operation) error {
			if operation == diskfaker.OperationSync || operation == diskfaker.OperationSyncFolder {
				syncs++
				time.Sleep(syncTime)
			}
			return nil
		})
		started := time.Now()
		var storing sync.WaitGroup
		for i := range leaving {
			storing.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / leaving)
				arrived := time.Now()
				if err := record.Store(leavekeeper.StoreRequest{Entries: []leavekeeper.Entry{entry(fmt.Sprint("vm-", i), 1)}, ReplicasRevision: 1}); err != nil {
					t.Error(err)
				}
				if took := time.Since(arrived); took > 100*time.Millisecond {
					t.Errorf("a leave took %s", took)
				}
			})
		}
		storing.Wait()
		t.Logf("%d leaves in %s: %d syncs", leaving, time.Since(started), syncs)
	})
}
