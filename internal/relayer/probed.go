package relayer

import (
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/prober"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// probed implements prober.Node.
type probed struct {
	node *Node
}

// Found takes an upstream that says it is well.
func (p probed) Found(a announcer.Announcement) {
	p.node.log.Info("An upstream was found.", "instance", a.Instance, "service", a.Service)
	p.node.registrar.Found(a)
}

// Report takes the upstream's own view of its load.
func (p probed) Report(load interpreter.Load) {
	p.node.executor.Report(load)
}

// Subject returns what is known of the upstream.
func (p probed) Subject() prober.Subject {
	n := p.node
	_, address, _ := n.upstream.current()
	if !address.IsValid() {
		address = n.settings.UpstreamAddress
	}
	current := n.registrar.Current()
	subject := prober.Subject{
		Address:  address,
		Instance: current.Instance,
		IsReady:  current.State == announcer.StateReady,
		Service:  n.service(),
	}
	subject.LoadAge, subject.Running, subject.TellsLoad = n.executor.LoadAge()
	if document := n.current(); document != nil {
		service, _ := document.ServiceNamed(subject.Service)
		subject.HealthPath = service.HealthPath
	}
	return subject
}
