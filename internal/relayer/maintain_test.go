package relayer

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// TestRegisterWaitsForReplicasThatAreOnTheirWay guards against a change that is acknowledged on three disks of five,
// since growing the register took longer than usual on a busy machine.
func TestRegisterWaitsForReplicasThatAreOnTheirWay(t *testing.T) {
	founders := []replicator.Replica{{VM: "a", DiskID: "1"}, {VM: "b", DiskID: "2"}, {VM: "c", DiskID: "3"}}
	known := []maintainer.Candidate{{Name: "a", DiskID: "1"}, {Name: "b", DiskID: "2"}, {Name: "c", DiskID: "3"}}
	joining := append(known[:len(known):len(known)], maintainer.Candidate{Name: "d", DiskID: "4"})
	for name, one := range map[string]struct {
		candidates []maintainer.Candidate
		running    time.Duration
		want       bool
	}{
		"nobody else, early":  {known, formTime, false},
		"nobody else":         {known, formTime + 1, true},
		"another on its way":  {joining, growTime, false},
		"it does not come in": {joining, growTime + 1, true},
	} {
		view := maintainer.View{Candidates: one.candidates, Replicas: founders, Settled: true, Wanted: 5}
		if got := hadTimeToForm(view, one.running); got != one.want {
			t.Errorf("%s: got %t, want %t", name, got, one.want)
		}
	}
}
