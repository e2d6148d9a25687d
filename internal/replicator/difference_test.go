package replicator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// drawnValue returns a successor of a value: of its document, its replicas or its evacuated data centres.
func drawnValue(random *rand.Rand, v *Value) *Value {
	switch random.IntN(6) {
	case 0:
		return v.withReplicas([]Replica{{DiskID: fmt.Sprint(random.IntN(9)), VM: "a"}, {DiskID: "2", VM: "b"}})
	case 1:
		return v.withoutPrevious()
	case 2:
		successor := *v
		successor.Revision++
		successor.Evacuated = []string{"flacq"}
		return &successor
	default:
		lines := strings.Split(v.Text, "\n")
		lines[random.IntN(len(lines))] = fmt.Sprintf("line %x", random.Uint64())
		text := strings.Join(lines, "\n")
		if random.IntN(8) == 0 {
			text = ""
		}
		return v.withChange(&Change{ID: fmt.Sprintf("%016x", random.Uint64()), Text: text, Time: time.Unix(0, 0)})
	}
}

func firstValue(random *rand.Rand) *Value {
	var lines []string
	for range 400 {
		lines = append(lines, fmt.Sprintf("line %x", random.Uint64()))
	}
	first := &Value{Deployment: "d", Replicas: []Replica{{DiskID: "1", VM: "a"}}, Revision: 1}
	return first.withChange(&Change{ID: "first", Text: strings.Join(lines, "\n"), Time: time.Unix(0, 0)})
}

// asSent returns the form in which a value is sent, for comparisons.
func asSent(t *testing.T, v *Value) string {
	t.Helper()
	encoded, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// TestDifferenceLeadsToValue guards against a replica that accepts another value than the one that was proposed, since it gets the difference
// from an earlier one: 700 values in a row, each from the one before it and from one some steps back.
func TestDifferenceLeadsToValue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 60))
	values := []*Value{firstValue(random)}
	for range 700 {
		to := drawnValue(random, values[len(values)-1])
		for _, back := range []int{1, 1 + random.IntN(min(len(values), 30))} {
			from := values[len(values)-back]
			var received Difference
			copyByJSON(t, makeDifference(from, to), &received)
			got, err := received.Apply(from)
			if err != nil {
				t.Fatalf("revision %d from %d: %v", to.Revision, from.Revision, err)
			}
			if asSent(t, got) != asSent(t, to) {
				t.Fatalf("revision %d from %d: got %+v, want %+v", to.Revision, from.Revision, got, to)
			}
		}
		values = append(values, to)
	}
}

// TestDifferenceOfLargeValueIsSmall guards against rounds that send each replica the whole document, and two earlier ones, for one line of it.
func TestDifferenceOfLargeValueIsSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 60))
	from := firstValue(random)
	for range maxChangeResults {
		from = from.withChange(&Change{ID: fmt.Sprintf("%016x", random.Uint64()), Text: from.Text, Time: time.Unix(0, 0)})
	}
	to := from.withChange(&Change{ID: "last", Text: strings.Replace(from.Text, "line", "another line", 1), Time: time.Unix(0, 0)})
	encoded, err := json.Marshal(NewDifference(from, to))
	if err != nil {
		t.Fatal(err)
	}
	if whole := len(asSent(t, to)); len(encoded) > whole/8 {
		t.Errorf("the difference has %d bytes, the value %d", len(encoded), whole)
	}
}

// TestDifferenceFromOtherValueIsRefused guards against a replica that applies a difference to another value than the one it is from.
func TestDifferenceFromOtherValueIsRefused(t *testing.T) {
	c := newCluster(t, "a")
	replicas := c.bootstrap("a")
	acceptor := c.acceptors["a"]
	accepted := acceptor.accepted
	to := accepted.Value.withChange(&Change{ID: "next", Text: "another text"})
	difference := makeDifference(accepted.Value, to)
	ballot := Ballot{Number: 100, Proposer: "p"}
	request := DifferenceRequest{Ballot: ballot, Base: Ballot{Number: 99, Proposer: "q"}, Difference: difference, DiskID: replicas[0].DiskID}
	if _, err := acceptor.AcceptDifference(request); !errors.Is(err, ErrOtherBase) {
		t.Errorf("from a value that is not accepted: error %v, want ErrOtherBase", err)
	}
	damaged := *difference
	damaged.Sum++
	request.Base, request.Difference = accepted.Ballot, &damaged
	if _, err := acceptor.AcceptDifference(request); !errors.Is(err, ErrOtherBase) {
		t.Errorf("with another sum: error %v, want ErrOtherBase", err)
	}
	if got := acceptor.Accepted(); got.Revision != accepted.Value.Revision {
		t.Fatalf("revision %d was accepted", got.Revision)
	}
	request.Difference = difference
	for range 2 {
		if reply, err := acceptor.AcceptDifference(request); err != nil || !reply.OK {
			t.Fatalf("got %+v, %v", reply, err)
		}
	}
	if got := acceptor.Accepted(); got.Text != to.Text || got.Revision != to.Revision {
		t.Errorf("accepted %+v, want %+v", got, to)
	}
}
