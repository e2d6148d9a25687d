package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// wideLink is the width of links that never hold anything up, in bytes per second.
const wideLink = 1e12

// playRounds makes changes of a document of 2,800 routes through a node, of which each replaces one route, and returns the bytes that the nodes
// with a disk send for one of them. The first node leads; those with the numbers are of an earlier version.
func playRounds(t *testing.T, through int, earlier ...int) (bytes int) {
	const changes = 5
	carrier.EncodeResponse(&fasthttp.Response{})
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(t, &spreadScenario{Seed: 60, Members: spreadReplicas, Routes: 2800, Earlier: earlier}, false)
		defer f.close()
		time.Sleep(spreadFormTime)
		for range 2 {
			f.change(through)
		}
		for _, vm := range f.vms {
			f.network.setLine(vm, wideLink)
		}
		for range changes {
			f.change(through)
		}
		for _, vm := range f.vms {
			bytes += f.network.sentBy(vm)
		}
	})
	return bytes / changes
}

// TestRoundsSendDifferences guards against rounds that send each replica the whole document, and two earlier ones with it, for one route of
// thousands: what crosses between data centres for a change was 20 times the document.
func TestRoundsSendDifferences(t *testing.T) {
	document := len(replicator.Pack(documentWithRoutes(t, 2800)))
	if sent := playRounds(t, 0); sent > document {
		t.Errorf("%d bytes were sent for a change, and the document has %d", sent, document)
	}
}

// TestChangesArePassedOnAsPatches guards against a node that sends the leader the whole document, not even compressed, for one route of
// thousands: 14 times the compressed one.
func TestChangesArePassedOnAsPatches(t *testing.T) {
	document := len(replicator.Pack(documentWithRoutes(t, 2800)))
	if sent := playRounds(t, 1); sent > document {
		t.Errorf("%d bytes were sent for a change through another node, and the document has %d", sent, document)
	}
}

// TestRoundsReachEarlierVersions guards against nodes of an earlier version that get differences which they don't understand.
func TestRoundsReachEarlierVersions(t *testing.T) {
	playRounds(t, 0, 1, 2)
	playRounds(t, 1, 0)
	playRounds(t, 1, 0, 1, 2, 3, 4)
}
