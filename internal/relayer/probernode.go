package relayer

import (
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/prober"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// proberNode implements prober.Node.
type proberNode struct {
	node *Node
}

// UpstreamDiscovered registers an upstream that a probe has found healthy.
func (p proberNode) UpstreamDiscovered(a announcer.Announcement) {
	p.node.log.Info("An upstream was found.", "instance", a.Instance, "service", a.Service)
	p.node.registrar.AddDiscovered(a)
}

// ObserveConditions passes to the executor the conditions in an answer of the upstream.
func (p proberNode) ObserveConditions(named executor.NamedConditions) {
	p.node.executor.ObserveConditions(named)
}

// AnswerMalformed counts and logs bytes of the upstream that are no response to a probe.
func (p proberNode) AnswerMalformed(instance string, err error) {
	p.node.meter.Event("malformed_probe_answers")
	p.node.events.write(false, "An answer of the upstream to a probe is malformed.", "instance", instance, "error", err)
}

// Report passes to the executor the load that the upstream itself reports.
func (p proberNode) Report(load interpreter.Load) {
	p.node.executor.UpdateLoad(load)
}

// Target returns what the prober needs to know about the upstream.
func (p proberNode) Target() prober.Target {
	n := p.node
	address := n.identity.Load().address
	if !address.IsValid() {
		_, address, _ = n.upstream.current()
	}
	current := n.registrar.Current()
	target := prober.Target{
		Address:  address,
		Instance: current.Instance,
		IsReady:  current.State == announcer.StateReady,
		Service:  n.service(),
	}
	target.Load = n.executor.LoadState()
	if document := n.currentDocument(); document != nil {
		service, _ := document.ServiceNamed(target.Service)
		target.HealthPath = service.HealthPath
	}
	return target
}
