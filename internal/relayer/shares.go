package relayer

import (
	"fmt"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/localizer"
)

// shareLogInterval is how often the shares that leave the data centre are looked at, for log lines and gauges.
const shareLogInterval = 200 * time.Millisecond

// newShareLogger returns a function that logs each service whose state has changed since its last call: attempts begin to
// leave the data centre, no longer leave, or find no room anywhere.
func (n *Node) newShareLogger() func() {
	states := make(map[string]localizer.State)
	registered := make(map[string]bool)
	return func() {
		for _, share := range n.router.Shares() {
			n.registerShareGauges(&share, registered)
			previous, ok := states[share.Service]
			states[share.Service] = share.State
			if share.State == previous || (!ok && share.State == localizer.StateLocal) {
				continue
			}
			n.events.write(false, "The state of leaving the data centre changed.", "service", share.Service, "state", share.State,
				"before", previous, "share", share.Share, "limit", share.Limit, "centres", formatCentres(share.Centres))
		}
	}
}

// formatCentres returns what is believed of the data centres as text.
func formatCentres(centres []localizer.CentreState) string {
	text := ""
	for _, c := range centres {
		text += fmt.Sprintf("%s: wait %s room %.0f; ", c.Name, c.Wait.Round(time.Millisecond), c.Room)
	}
	return text
}

// registerShareGauges registers the gauges of a service, by data centre, that are not yet registered.
func (n *Node) registerShareGauges(share *localizer.ServiceState, registered map[string]bool) {
	for _, c := range share.Centres {
		if registered[share.Service+" "+c.Name] {
			continue
		}
		registered[share.Service+" "+c.Name] = true
		labels := fmt.Sprintf("{service=%q,data_centre=%q}", share.Service, c.Name)
		read := func(value func(*localizer.CentreState) float64) func() float64 {
			return func() float64 { return n.readCentre(share.Service, c.Name, value) }
		}
		n.meter.Gauge("share_sent"+labels, read(func(c *localizer.CentreState) float64 { return c.Part }))
		n.meter.Gauge("believed_room"+labels, read(func(c *localizer.CentreState) float64 { return c.Room }))
		n.meter.Gauge("believed_wait_seconds"+labels, read(func(c *localizer.CentreState) float64 { return c.Wait.Seconds() }))
	}
}

// readCentre returns a value of what is believed of a service in a data centre, or 0 if it is not known.
func (n *Node) readCentre(service, dataCentre string, value func(*localizer.CentreState) float64) float64 {
	for _, share := range n.router.Shares() {
		for i := range share.Centres {
			if share.Service == service && share.Centres[i].Name == dataCentre {
				return value(&share.Centres[i])
			}
		}
	}
	return 0
}
