package leavekeeper_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

var modelSeeds = flag.Int("model.seeds", 60, "number of the random histories that are played")

const (
	modelVMs      = 8
	modelReplicas = 5
	// maxLosses is the number of disks that can be lost at once.
	maxLosses  = modelReplicas / 2
	modelSteps = 60
)

var errLostMessage = errors.New("a message was lost")

// modelReplica is a VM with a disk.
type modelReplica struct {
	disk   *diskfaker.Disk
	diskID string
	record *leavekeeper.Record
}

// model is a register whose set of replicas changes, with disks that are lost and messages that are.
type model struct {
	t        *testing.T
	random   *lockedRandom
	replicas map[string]*modelReplica
	// value is the newest value that is chosen, and earlier are those before it.
	value   *replicator.Value
	earlier []*replicator.Value
	// lossPercent is the part of the messages that is lost.
	lossPercent  int
	lost         []string
	wipes        int
	acknowledged []leavekeeper.Entry
	quorum       *leavekeeper.Quorum
}

// lockedRandom is a source of random numbers that is safe for concurrent use.
type lockedRandom struct {
	numbers chan *rand.Rand
}

func (l *lockedRandom) intN(n int) int {
	random := <-l.numbers
	defer func() { l.numbers <- random }()
	return random.IntN(n)
}

func newModel(t *testing.T, seed uint64) *model {
	t.Helper()
	m := &model{t: t, random: &lockedRandom{make(chan *rand.Rand, 1)}, replicas: make(map[string]*modelReplica)}
	m.random.numbers <- rand.New(rand.NewPCG(seed, 0))
	m.quorum = leavekeeper.NewQuorum(m)
	m.value = &replicator.Value{ReplicasRevision: 1}
	for i := range modelVMs {
		vm := fmt.Sprint("vm-", i)
		m.replicas[vm] = &modelReplica{disk: diskfaker.New(), diskID: vm}
		m.open(vm)
		if i < modelReplicas {
			m.value.Replicas = append(m.value.Replicas, m.replica(vm))
		}
	}
	return m
}

func (m *model) open(vm string) {
	m.replicas[vm].record = openRecord(m.t, m.replicas[vm].disk)
}

func (m *model) replica(vm string) replicator.Replica {
	return replicator.Replica{DiskID: m.replicas[vm].diskID, VM: vm}
}

// reach returns the record of a replica, unless the request is lost or for another disk.
func (m *model) reach(vm, diskID string) (*leavekeeper.Record, error) {
	r := m.replicas[vm]
	switch {
	case m.random.intN(100) < m.lossPercent:
		return nil, errLostMessage
	case r.diskID != diskID:
		return nil, replicator.ErrOtherDisk
	}
	return r.record, nil
}

// answer returns the error of a request that has been carried out, whose reply may be lost.
func (m *model) answer(err error) error {
	if err == nil && m.random.intN(100) < m.lossPercent {
		return errLostMessage
	}
	return err
}

// StoreLeaves implements leavekeeper.Links.
func (m *model) StoreLeaves(_ context.Context, vm string, request leavekeeper.StoreRequest) (leavekeeper.Reply, error) {
	record, err := m.reach(vm, request.DiskID)
	if err != nil {
		return leavekeeper.Reply{}, err
	}
	return leavekeeper.Reply{}, m.answer(record.Store(request))
}

// ReadLeaves implements leavekeeper.Links.
func (m *model) ReadLeaves(_ context.Context, vm string, request leavekeeper.ReadRequest) (leavekeeper.Reply, error) {
	record, err := m.reach(vm, request.DiskID)
	if err != nil {
		return leavekeeper.Reply{}, err
	}
	entries, err := record.Read(request.VM, request.ReplicasRevision)
	return leavekeeper.Reply{Entries: entries}, m.answer(err)
}

// step does something at random.
func (m *model) step(number int) {
	m.lossPercent = m.random.intN(60)
	switch m.random.intN(10) {
	case 0, 1:
		m.changeReplicas()
	case 2:
		m.losePower()
	case 3:
		m.loseDisk()
	case 4:
		m.check()
	default:
		m.store(entry(fmt.Sprint("leaving-", number), int64(1+number)))
	}
}

// store stores an entry under the newest value, or under an earlier one as a node does that is behind.
func (m *model) store(e leavekeeper.Entry) {
	value := m.value
	if len(m.earlier) > 0 && m.random.intN(3) == 0 {
		value = m.earlier[m.random.intN(len(m.earlier))]
	}
	if m.quorum.Store(m.t.Context(), value, []leavekeeper.Entry{e}) == nil {
		m.acknowledged = append(m.acknowledged, e)
	}
}

// changeReplicas begins a change of the replicas, or goes on with the one that was begun. Lost disks are replaced first.
func (m *model) changeReplicas() {
	if len(m.value.Previous) == 0 {
		m.beginChange()
	}
	if m.quorum.HandOver(m.t.Context(), m.value) != nil {
		return
	}
	final := *m.value
	final.Previous = nil
	m.choose(&final)
	isReplaced := func(diskID string) bool {
		return !slices.ContainsFunc(final.Replicas, func(r replicator.Replica) bool { return r.DiskID == diskID })
	}
	m.lost = slices.DeleteFunc(m.lost, isReplaced)
}

// beginChange chooses a value that names another set of replicas beside the present one.
func (m *model) beginChange() {
	joint := &replicator.Value{Previous: m.value.Replicas, ReplicasRevision: m.value.ReplicasRevision + 1}
	var spares []replicator.Replica
	for i := range modelVMs {
		if replica := m.replica(fmt.Sprint("vm-", i)); !slices.Contains(m.value.Replicas, replica) {
			spares = append(spares, replica)
		}
	}
	for _, replica := range m.value.Replicas {
		isLost := slices.Contains(m.lost, replica.DiskID)
		if len(spares) > 0 && (isLost || m.random.intN(5) == 0) {
			replica, spares = spares[0], spares[1:]
		}
		joint.Replicas = append(joint.Replicas, replica)
	}
	m.choose(joint)
}

func (m *model) choose(value *replicator.Value) {
	m.earlier = append(m.earlier, m.value)
	m.value = value
}

// losePower makes all VMs lose their power.
func (m *model) losePower() {
	for vm, r := range m.replicas {
		r.disk.LosePower(m.random.intN)
		m.open(vm)
	}
}

// loseDisk makes a VM lose its disk, unless that is more than can be lost.
func (m *model) loseDisk() {
	if len(m.lost) >= maxLosses || len(m.value.Previous) > 0 {
		return
	}
	vm := fmt.Sprint("vm-", m.random.intN(modelVMs))
	r := m.replicas[vm]
	m.wipes++
	if slices.Contains(m.value.Replicas, m.replica(vm)) {
		m.lost = append(m.lost, r.diskID)
	}
	r.disk, r.diskID = diskfaker.New(), fmt.Sprint(vm, "-", m.wipes)
	m.open(vm)
}

// check reads all entries, as a node does that has just started, and looks for those that were acknowledged.
func (m *model) check() {
	m.lossPercent = 0
	entries, err := m.quorum.Read(m.t.Context(), m.value, "")
	if err != nil {
		m.t.Fatalf("the entries can't be read under revision %d: %v", m.value.ReplicasRevision, err)
	}
	for _, e := range m.acknowledged {
		if !slices.Contains(entries, e) {
			m.t.Fatalf("revision %d: the entry %s was acknowledged and is not read", m.value.ReplicasRevision, e.VM)
		}
	}
}

// TestAcknowledgedEntriesAreRead guards against a leave that was acknowledged and is not read back, in random histories of lost
// messages, disks and power and of changes of the replicas that are interrupted.
func TestAcknowledgedEntriesAreRead(t *testing.T) {
	total := 0
	for seed := range uint64(*modelSeeds) {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t, seed)
			for number := range modelSteps {
				m.step(number)
				// The messages that are under way arrive.
				synctest.Wait()
			}
			m.check()
			total += len(m.acknowledged)
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	t.Logf("%d entries were acknowledged", total)
	if total == 0 {
		t.Error("no entry was acknowledged")
	}
}
