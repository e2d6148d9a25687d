package maintainer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

var (
	fullSeeds     = flag.Uint64("full.seeds", 12, "number of seeds of TestFullDisksInTurn")
	fullFirstSeed = flag.Uint64("full.first", 1, "first seed of TestFullDisksInTurn")
)

const (
	// acknowledgeTime is how long a change can take when no disk is full.
	acknowledgeTime = 4 * time.Second
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
)

// TestFullDisksInTurn guards against a register that refuses changes for good after each of its disks has been full for
// some seconds, one after the other: with or without changes meanwhile, beside a process that starts with a full disk,
// and beside a VM that is replaced.
func TestFullDisksInTurn(t *testing.T) {
	for seed := *fullFirstSeed; seed < *fullFirstSeed+*fullSeeds && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := &lossModel{
				fleet: newFleet(t, seed, coreSize), random: rand.New(rand.NewPCG(seed, 3)),
				counts: make(map[string]int), texts: make(map[uint64]string),
			}
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			defer m.stopAll()
			m.form()
			m.quiet = seed%2 == 0
			replaced := m.random.IntN(coreSize)
			for i := range m.random.Perm(coreSize) {
				if i == replaced && seed%3 == 0 {
					m.replaceBesideFullDisk()
				}
				m.fillInTurn(m.members[i])
			}
			m.settle()
			m.checkChanges()
			m.checkRecovery()
		})
	}
}

// fillInTurn makes the disk of the VM refuse all changes for some seconds. Some processes are killed meanwhile and start
// again, until they find room.
func (m *lossModel) fillInTurn(name string) {
	disk := m.vms[name].disk
	// A disk fills up at any operation, also between the two records of one vote.
	full := fillDisk(disk, m.random.IntN(20))
	m.pause(500*time.Millisecond, 2*time.Second)
	if m.random.IntN(3) == 0 {
		m.kill(name)
		time.Sleep(restartDelay)
		for range 3 {
			m.tryStart(name)
			time.Sleep(restartDelay)
		}
	}
	m.pause(0, 2*time.Second)
	full.Store(false)
	m.start(name)
	m.pause(0, time.Second)
}

// replaceBesideFullDisk replaces a VM while the disk of its successor is full for a time.
func (m *lossModel) replaceBesideFullDisk() {
	m.retire(m.someMembers(1)[0])
	name := m.add()
	full := fillDisk(m.vms[name].disk, 0)
	m.pause(time.Second, 4*time.Second)
	full.Store(false)
	m.settle()
}

// fillDisk makes the disk refuse all changes after the next operations, as long as the result is true.
func fillDisk(disk *diskfaker.Disk, operations int) *atomic.Bool {
	full, done := &atomic.Bool{}, &atomic.Int64{}
	full.Store(true)
	disk.SetBeforeOperation(func(diskfaker.Operation) error {
		if full.Load() && done.Add(1) > int64(operations) {
			return diskfaker.ErrRefused
		}
		return nil
	})
	return full
}

// checkChanges makes a change at each VM, which must be acknowledged in time.
func (m *lossModel) checkChanges() {
	for _, p := range m.running() {
		m.changes++
		change := &replicator.Change{Base: m.base, ID: fmt.Sprint("after-", m.changes), Text: fmt.Sprint("text ", m.changes)}
		ctx, cancel := context.WithTimeout(context.Background(), acknowledgeTime)
		version, err := p.apply(ctx, change)
		var conflict *replicator.ConflictError
		if errors.As(err, &conflict) {
			// An earlier change was made although it was not acknowledged.
			change.Base = conflict.Current
			version, err = p.apply(ctx, change)
		}
		cancel()
		if err != nil {
			m.tb.Errorf("%s: no change is acknowledged after all disks have room again: %v", p.vm.name, err)
			continue
		}
		m.recordAcknowledged(p, version, change.Text)
	}
}
