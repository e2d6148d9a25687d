package maintainer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

var (
	lossSeeds     = flag.Uint64("losses.seeds", 6, "number of seeds of TestAcknowledgedVersionsSurviveLosses")
	lossFirstSeed = flag.Uint64("losses.first", 1, "first seed of TestAcknowledgedVersionsSurviveLosses")
	lossSteps     = flag.Int("losses.steps", 40, "steps for each seed of TestAcknowledgedVersionsSurviveLosses")
)

// What may be lost at once, and how long a VM still counts as lost after it is back.
const (
	toleratedDisks = 2
	catchUpTime    = 4 * time.Second
	recoveryTime   = 15 * time.Second
	operatorWait   = time.Second
	drainTime      = 3300 * time.Millisecond
	coreSize       = 2*toleratedDisks + 1
)

// lossModel runs an operator and a schedule of losses within the tolerance against a fleet.
type lossModel struct {
	*fleet
	random *rand.Rand
	// members holds the VMs that are to run.
	members []string
	// created counts the VMs that were ever started.
	created int
	// quiet is true while the operator makes no changes in pauses.
	quiet bool

	// acknowledged is the newest acknowledged version, and texts the acknowledged texts by version.
	acknowledged uint64
	changes      int
	base         uint64
	texts        map[uint64]string
	// counts holds how often each step was run.
	counts map[string]int
}

// TestAcknowledgedVersionsSurviveLosses runs random sequences of kills, losses of power, cuts, lost messages, full disks,
// lost disks and replaced VMs, in which no more disks are lost at once than is tolerated: a disk counts as lost until
// all VMs have been up and in touch for catchUpTime. No read may return an older version than one that was
// acknowledged before it, and the newest one must be read from every VM once all have been back for recoveryTime. A
// seed draws the same losses each time, but not the same order of messages that arrive at one moment.
func TestAcknowledgedVersionsSurviveLosses(t *testing.T) {
	counts := make(map[string]int)
	for seed := *lossFirstSeed; seed < *lossFirstSeed+*lossSeeds && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := &lossModel{
				fleet: newFleet(t, seed, coreSize), random: rand.New(rand.NewPCG(seed, 2)),
				counts: counts, texts: make(map[uint64]string),
			}
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			defer m.stopAll()
			m.form()
			for range *lossSteps {
				m.step()
			}
			m.checkRecovery()
		})
	}
	t.Logf("%d seeds, steps: %v", *lossSeeds, counts)
}

// form starts the VMs and creates the register on three of them.
func (m *lossModel) form() {
	for range coreSize {
		m.add()
	}
	m.createRegister()
}

// createRegister creates the register on the first members and waits until it is on all of them.
func (m *lossModel) createRegister() {
	var seeds []replicator.Replica
	for _, name := range m.members[:seedCount] {
		seeds = append(seeds, replicator.Replica{DiskID: m.vms[name].diskID, VM: name})
	}
	first := m.running()[0]
	value, err := first.proposer.CreateEmpty(context.Background(), seeds)
	if err != nil {
		m.tb.Fatal(err)
	}
	first.publish(value)
	time.Sleep(catchUpTime)
	if replicas := first.current().Replicas; len(replicas) != len(m.members) {
		m.tb.Fatalf("the register is on %d VMs of %d after %s", len(replicas), len(m.members), catchUpTime)
	}
}

// add starts a new VM and returns its name. Names are not in the order of their starts.
func (m *lossModel) add() string {
	m.created++
	name := fmt.Sprintf("vm-%02d-%d", m.random.IntN(100), m.created)
	m.start(name)
	m.members = append(m.members, name)
	return name
}

// step makes a change or a read, or plays losses until their end.
func (m *lossModel) step() {
	steps := []struct {
		name string
		run  func()
	}{
		{"change", m.change},
		{"change", m.change},
		{"read", m.read},
		{"kill", m.killSome},
		{"power loss", m.losePower},
		{"cut", m.cutInTwo},
		{"full disk", m.fillDisk},
		{"lost disks", m.loseDisks},
		{"lost disks", m.loseDisks},
		{"replacement", m.replace},
		{"planned replacement", m.replacePlanned},
	}
	chosen := steps[m.random.IntN(len(steps))]
	m.counts[chosen.name]++
	m.quiet = m.random.IntN(2) == 0
	m.loseMessages()
	chosen.run()
	m.pause(0, 500*time.Millisecond)
}

// loseMessages makes the network lose none or a part of the messages until settle.
func (m *lossModel) loseMessages() {
	const highestPercent = 60
	m.setLoss(max(0, m.random.IntN(2*highestPercent)-highestPercent))
}

// pause waits for a random time while the operator sometimes makes changes, except in quiet steps.
func (m *lossModel) pause(low, high time.Duration) {
	wait := low + time.Duration(m.random.Int64N(int64(high-low)+1))
	end := time.Now().Add(wait)
	for time.Now().Before(end) {
		if m.random.IntN(3) == 0 && !m.quiet {
			m.change()
		}
		time.Sleep(min(time.Until(end), 300*time.Millisecond))
	}
}

// change sends a change to a random VM and waits for its result, up to operatorWait.
func (m *lossModel) change() {
	<-m.startChange()
}

// startChange sends a change to a random VM. The result is closed when there is an outcome.
func (m *lossModel) startChange() <-chan struct{} {
	done := make(chan struct{})
	processes := m.running()
	if len(processes) == 0 {
		close(done)
		return done
	}
	p := processes[m.random.IntN(len(processes))]
	m.changes++
	m.mu.Lock()
	base := m.base
	m.mu.Unlock()
	change := &replicator.Change{Base: base, ID: fmt.Sprint("c", m.changes), Text: fmt.Sprint("text ", m.changes)}
	m.tasks.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
		defer cancel()
		version, err := p.apply(ctx, change)
		var conflict *replicator.ConflictError
		switch {
		case err == nil:
			m.recordAcknowledged(p, version, change.Text)
		case errors.As(err, &conflict):
			m.setBase(conflict.Current)
		}
	})
	return done
}

func (m *lossModel) setBase(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.base = version
}

// recordAcknowledged notes an acknowledgement, unless the process has ended and can't have sent it.
func (m *lossModel) recordAcknowledged(p *process, version uint64, text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.vm.process != p {
		return
	}
	if other, ok := m.texts[version]; ok {
		m.tb.Errorf("version %d was acknowledged twice: %q and %q", version, other, text)
	}
	m.texts[version] = text
	m.acknowledged = max(m.acknowledged, version)
	m.base = m.acknowledged
}

// read reads from a random VM.
func (m *lossModel) read() {
	if processes := m.running(); len(processes) > 0 {
		_ = m.readFrom(processes[m.random.IntN(len(processes))])
	}
}

// readFrom checks a read from the process; an error of the read is returned.
func (m *lossModel) readFrom(p *process) error {
	m.mu.Lock()
	before := m.acknowledged
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	value, err := p.read(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if value.Version < before {
		m.tb.Errorf("%s: read version %d after version %d was acknowledged", p.vm.name, value.Version, before)
	}
	if text, ok := m.texts[value.Version]; ok && text != value.Text {
		m.tb.Errorf("%s: version %d reads %q, %q was acknowledged", p.vm.name, value.Version, value.Text, text)
	}
	return nil
}

// someMembers returns a random selection of count members.
func (m *lossModel) someMembers(count int) []string {
	var selected []string
	for _, i := range m.random.Perm(len(m.members))[:count] {
		selected = append(selected, m.members[i])
	}
	return selected
}

// killSome kills some or all processes, which start again within a second, while a change is under way.
func (m *lossModel) killSome() {
	names := m.someMembers(1 + m.random.IntN(len(m.members)))
	m.changeJustBefore()
	for _, name := range names {
		m.kill(name)
	}
	m.pause(100*time.Millisecond, time.Second)
	m.startMembers()
}

// changeJustBefore sends a change some time before a loss, waits for the acknowledgement of one, or does nothing.
func (m *lossModel) changeJustBefore() {
	if m.random.IntN(3) == 0 {
		return
	}
	done := m.startChange()
	if m.random.IntN(2) == 0 {
		<-done
		return
	}
	time.Sleep(time.Duration(m.random.IntN(60)) * time.Millisecond)
}

// startMembers starts all members that are down, in random order within half a second.
func (m *lossModel) startMembers() {
	for _, i := range m.random.Perm(len(m.members)) {
		m.start(m.members[i])
		time.Sleep(time.Duration(m.random.IntN(100)) * time.Millisecond)
	}
}

// losePower cuts the power of some or all VMs, each within a few operations of its disk.
func (m *lossModel) losePower() {
	names := m.someMembers(1 + m.random.IntN(len(m.members)))
	if m.random.IntN(2) == 0 {
		names = m.members
	}
	m.changeJustBefore()
	for _, name := range names {
		m.cutPower(name, time.Duration(m.random.IntN(3))*time.Millisecond, m.random.IntN)
	}
	m.pause(100*time.Millisecond, 2*time.Second)
	m.startMembers()
}

// cutInTwo separates up to half of the VMs from the others for some seconds, sometimes with other losses meanwhile.
func (m *lossModel) cutInTwo() {
	m.cut(m.someMembers(1 + m.random.IntN(len(m.members)/2))...)
	m.pause(0, 3*time.Second)
	switch m.random.IntN(4) {
	case 0:
		m.killSome()
	case 1:
		m.losePower()
	case 2:
		m.loseDisksNow(toleratedDisks)
		m.pause(0, 2*time.Second)
	}
	m.cut()
	m.settle()
}

// fillDisk makes the disk of one VM refuse all changes for some seconds.
func (m *lossModel) fillDisk() {
	disk := m.vms[m.someMembers(1)[0]].disk
	disk.SetBeforeOperation(func(diskfaker.Operation) error { return diskfaker.ErrRefused })
	m.pause(0, 3*time.Second)
	disk.SetBeforeOperation(nil)
}

// settle waits until all VMs have been up and in touch for catchUpTime, so that no disk counts as lost.
func (m *lossModel) settle() {
	m.setLoss(0)
	m.startMembers()
	m.pause(catchUpTime, catchUpTime+time.Second)
}

// loseDisks loses as many disks as tolerated and waits until none counts as lost.
func (m *lossModel) loseDisks() {
	m.settle()
	m.loseDisksNow(toleratedDisks)
	if m.random.IntN(3) == 0 {
		m.losePower()
	}
	m.settle()
}

// loseDisksNow replaces up to most disks with empty ones, sometimes while all other VMs lose their power.
func (m *lossModel) loseDisksNow(most int) {
	m.loseMessages()
	names := m.someMembers(1 + m.random.IntN(most))
	m.changeJustBefore()
	for _, name := range names {
		m.kill(name)
		m.vms[name].disk.Wipe()
	}
	if m.random.IntN(2) == 0 {
		for _, name := range m.members {
			m.cutPower(name, 0, m.random.IntN)
		}
	}
	m.pause(100*time.Millisecond, 2*time.Second)
	m.startMembers()
	m.pause(0, 2*time.Second)
}

// retire removes a member for good.
func (m *lossModel) retire(name string) {
	m.remove(name)
	for i, member := range m.members {
		if member == name {
			m.members = append(m.members[:i:i], m.members[i+1:]...)
			return
		}
	}
}

// replace loses a VM with its disk for good, and sometimes the disk of another; a new VM starts later.
func (m *lossModel) replace() {
	m.settle()
	m.changeJustBefore()
	m.retire(m.someMembers(1)[0])
	if m.random.IntN(2) == 0 {
		m.loseDisksNow(toleratedDisks - 1)
	}
	m.pause(0, 2*time.Second)
	m.add()
	m.settle()
}

// replacePlanned starts a new VM, then ends another on purpose. Its disk doesn't count as lost by then, so that
// sometimes as many disks as tolerated are lost when it ends.
func (m *lossModel) replacePlanned() {
	m.settle()
	m.add()
	m.settle()
	name := m.someMembers(1)[0]
	m.mu.Lock()
	m.vms[name].process.leaving = true
	m.mu.Unlock()
	m.pause(drainTime, drainTime)
	m.retire(name)
	if m.random.IntN(2) == 0 {
		m.loseDisksNow(toleratedDisks)
	}
	m.settle()
}

// checkRecovery brings all VMs back and reads from each of them after recoveryTime.
func (m *lossModel) checkRecovery() {
	m.cut()
	m.setLoss(0)
	m.startMembers()
	time.Sleep(recoveryTime)
	for _, p := range m.running() {
		if err := m.readFrom(p); err != nil {
			m.tb.Errorf("%s: %v", p.vm.name, err)
		}
	}
}

// stopAll ends all processes and waits for their tasks and messages.
func (m *lossModel) stopAll() {
	for _, p := range m.running() {
		m.kill(p.vm.name)
	}
	m.tasks.Wait()
	time.Sleep(learnTimeout)
}
