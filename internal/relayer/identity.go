package relayer

import (
	"fmt"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// ErrOtherUpstream is wrapped by the error for an announcement that contradicts what the settings say of the upstream.
var ErrOtherUpstream = merry.Sentinel("not the upstream that the settings name")

// upstreamIdentity is what the settings say of the upstream beside the node. What they leave out, announcements decide.
type upstreamIdentity struct {
	// address is not valid if the settings name none.
	address    netip.AddrPort
	dataCentre string
	// service is empty if the settings name none.
	service string
}

func newUpstreamIdentity(settings *settingsreader.Settings) *upstreamIdentity {
	return &upstreamIdentity{address: settings.UpstreamAddress, dataCentre: settings.DataCentre, service: settings.UpstreamService}
}

// check returns an error that wraps ErrOtherUpstream if an announcement contradicts the settings. An announcement doesn't need to
// name the data centre.
func (i *upstreamIdentity) check(a *announcer.Announcement) error {
	contradiction := func(field, value, want string) error {
		return fmt.Errorf("%w: %w", ErrOtherUpstream, validator.FieldError{Field: field, Value: value, Reason: fmt.Sprintf("want %q", want)})
	}
	if i.service != "" && a.Service != i.service {
		return contradiction("service", a.Service, i.service)
	}
	if a.DataCentre != "" && a.DataCentre != i.dataCentre {
		return contradiction("data-centre", a.DataCentre, i.dataCentre)
	}
	// An address that can't be read is refused by the registrar as well.
	address, _ := netip.ParseAddrPort(a.Address)
	if i.address.IsValid() && address != i.address {
		return contradiction("address", a.Address, i.address.String())
	}
	return nil
}

// setIdentity puts what the settings say of the upstream in force. An upstream that contradicts it is gone until its next
// announcement.
func (n *Node) setIdentity(identity *upstreamIdentity) {
	n.identity.Store(identity)
	current := n.registrar.Current()
	if current.Instance == "" || current.State == announcer.StateGone {
		return
	}
	if err := identity.check(&current); err != nil {
		n.log.Warn("The upstream contradicts the settings that were read.", "instance", current.Instance, "error", err)
		n.registrar.MarkDown(current.Process())
	}
}

// service returns the service of the upstream on this VM: the one from the settings, or else the announced one, which can be the
// empty string.
func (n *Node) service() string {
	if service := n.identity.Load().service; service != "" {
		return service
	}
	return n.registrar.Current().Service
}
