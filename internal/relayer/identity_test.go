package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/registrar"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// newIdentityNode returns a node without a document that is not started, and an announcement of the upstream that its settings name.
func newIdentityNode(t *testing.T, edit func(*settingsreader.Settings)) (*Node, announcer.Announcement) {
	t.Helper()
	settings := &settingsreader.Settings{
		Name: "vm", DataCentre: "here", Region: "here", LogLinesPerSecond: 1, TrustNetwork: true,
		UpstreamAddress: netip.MustParseAddrPort("127.0.0.1:80"), UpstreamService: "entries",
		UpstreamLease: validator.Duration(7500 * time.Millisecond),
	}
	if edit != nil {
		edit(settings)
	}
	secrets, err := settings.LoadSecrets()
	if err != nil {
		t.Fatal(err)
	}
	node, err := New(settings, secrets, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	return node, announcer.Announcement{
		Address: "127.0.0.1:80", Born: time.Now().UnixMilli(), DataCentre: "here", Instance: "own", Sequence: 1, Service: "entries",
		Slots: 4, State: announcer.StateReady,
	}
}

// TestSettingsNameUpstream guards against an announcement of another writer that changes which service the requests of a VM come from, or
// that shuts out the upstream of the settings (review/9, review/10): also before the first document, and whoever announces first.
func TestSettingsNameUpstream(t *testing.T) {
	contradictions := map[string]func(a *announcer.Announcement){
		"service":     func(a *announcer.Announcement) { a.Service = "archive" },
		"data centre": func(a *announcer.Announcement) { a.DataCentre = "there" },
		"address":     func(a *announcer.Announcement) { a.Address = "127.0.0.1:81" },
		"all": func(a *announcer.Announcement) {
			a.Service, a.DataCentre, a.Address = "archive", "there", "127.0.0.2:80"
		},
	}
	for name, contradict := range contradictions {
		for _, isFirst := range []bool{true, false} {
			node, own := newIdentityNode(t, nil)
			other := own
			other.Instance, other.Born = "other", own.Born+1000
			contradict(&other)
			if !isFirst {
				announce(t, node, own)
			}
			for range 3 {
				if err := node.Announce(t.Context(), other); !errors.Is(err, ErrOtherUpstream) {
					t.Errorf("%s: %v", name, err)
				}
				if got := node.service(); got != "entries" {
					t.Errorf("%s: requests come from %q", name, got)
				}
				own.Sequence++
				announce(t, node, own)
			}
			if got := node.registrar.Current(); got != own {
				t.Errorf("%s: the upstream is %+v", name, got)
			}
		}
	}
}

func announce(t *testing.T, node *Node, a announcer.Announcement) {
	t.Helper()
	if err := node.Announce(t.Context(), a); err != nil {
		t.Errorf("the upstream's own announcement is refused: %v", err)
	}
}

// TestRegisteredMeansAcknowledged guards against an upstream that is told that it is registered while another process is, and against a
// new start of the upstream that can't take its place.
func TestRegisteredMeansAcknowledged(t *testing.T) {
	node, own := newIdentityNode(t, nil)
	announce(t, node, own)
	restarted := own
	restarted.Born += 5000
	announce(t, node, restarted)
	own.Sequence = 100
	if err := node.Announce(t.Context(), own); !errors.Is(err, registrar.ErrOtherProcess) {
		t.Errorf("the earlier process: %v", err)
	}
	if got := node.registrar.Current(); got != restarted {
		t.Errorf("the upstream is %+v", got)
	}
}

// TestUpstreamWithoutSettings guards against a node that refuses its upstream because its settings name none: announcements decide then.
func TestUpstreamWithoutSettings(t *testing.T) {
	node, own := newIdentityNode(t, func(s *settingsreader.Settings) {
		s.UpstreamAddress, s.UpstreamService = netip.AddrPort{}, ""
	})
	own.Service, own.Address, own.DataCentre = "archive", "127.0.0.2:90", ""
	announce(t, node, own)
	if got := node.service(); got != "archive" {
		t.Errorf("requests come from %q", got)
	}
}

// TestReloadedSettingsNameUpstream guards against settings that were read again and name another service, while the upstream of the
// earlier ones keeps its place.
func TestReloadedSettingsNameUpstream(t *testing.T) {
	node, own := newIdentityNode(t, nil)
	announce(t, node, own)
	settings := *node.settings
	node.Reload(&settings)
	if got := node.registrar.Current().State; got != announcer.StateReady {
		t.Errorf("after the same settings the upstream is %s", got)
	}
	settings.UpstreamService = "archive"
	node.Reload(&settings)
	if got := node.registrar.Current().State; got != announcer.StateGone {
		t.Errorf("the upstream of the earlier service is %s", got)
	}
	if err := node.Announce(context.Background(), own); !errors.Is(err, ErrOtherUpstream) {
		t.Errorf("its next announcement: %v", err)
	}
	next := own
	next.Instance, next.Service = "next", "archive"
	announce(t, node, next)
	if got := node.service(); got != "archive" {
		t.Errorf("requests come from %q", got)
	}
}

// TestAnnounceRefusals guards against a leave that isn't stored and is answered as if the upstream had said something wrong, after which
// it would not ask again.
func TestAnnounceRefusals(t *testing.T) {
	for _, test := range []struct {
		err    error
		status int
	}{
		{fmt.Errorf("%w: cut off", leavekeeper.ErrNotStored), 503},
		{leavekeeper.ErrFull, 503},
		{registrar.ErrInvalid, 400},
		{registrar.ErrOutdated, 400},
		{ErrOtherUpstream, 400},
	} {
		if got := refuser.New(announceRefusal(test.err), "").Status(); got != test.status {
			t.Errorf("%v: status %d, want %d", test.err, got, test.status)
		}
	}
}
