package relayer

import (
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// TestFormingWaitsForJoiningReplicas guards against a change that is acknowledged on only three disks of five
// because growing the register took longer than usual on a busy machine.
func TestFormingWaitsForJoiningReplicas(t *testing.T) {
	replicas := []replicator.Replica{{VM: "a", DiskID: "1"}, {VM: "b", DiskID: "2"}, {VM: "c", DiskID: "3"}}
	known := []maintainer.Candidate{{Name: "a", DiskID: "1"}, {Name: "b", DiskID: "2"}, {Name: "c", DiskID: "3"}}
	joining := append(known[:len(known):len(known)], maintainer.Candidate{Name: "d", DiskID: "4"})
	for name, one := range map[string]struct {
		candidates []maintainer.Candidate
		running    time.Duration
		want       bool
	}{
		"no other node, early":  {known, formTimeout, false},
		"no other node":         {known, formTimeout + 1, true},
		"another is joining":    {joining, growTimeout, false},
		"another fails to join": {joining, growTimeout + 1, true},
	} {
		view := maintainer.View{Candidates: one.candidates, Replicas: replicas, TargetReplicas: 5}
		if got := formingTimedOut(view, one.running); got != one.want {
			t.Errorf("%s: got %t, want %t", name, got, one.want)
		}
	}
}
