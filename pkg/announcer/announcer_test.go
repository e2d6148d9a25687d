package announcer

import (
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// TestMalformedAnswerAcknowledgesNothing guards against an answer with the status 000 that counts as the acknowledgement of an
// announcement, so that an upstream that leaves thinks that its node knows.
func TestMalformedAnswerAcknowledgesNothing(t *testing.T) {
	node := wiretester.Serve(t, wiretester.MalformedAnswer)
	a := New(node, Announcement{Instance: "i", Service: "s"})
	if err := a.Announce(t.Context(), StateDraining); err == nil {
		t.Error("the announcement counts as acknowledged")
	}
}
