package relayer

import (
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/prober"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// proberNode implements prober.Node.
type proberNode struct {
	node *Node
}

// Found registers an upstream that a probe has found healthy.
func (p proberNode) Found(a announcer.Announcement) {
	p.node.log.Info("An upstream was found.", "instance", a.Instance, "service", a.Service)
	p.node.registrar.AddDiscovered(a)
}

// Report passes the load that the upstream itself reports to the executor.
func (p proberNode) Report(load interpreter.Load) {
	p.node.executor.Report(load)
}

// Subject returns what the prober needs to know about the upstream.
func (p proberNode) Subject() prober.Subject {
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
	if document := n.currentDocument(); document != nil {
		service, _ := document.ServiceNamed(subject.Service)
		subject.HealthPath = service.HealthPath
	}
	return subject
}
