package administrator

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// evacuationTimeout bounds an order to evacuate a data centre.
const evacuationTimeout = 4 * time.Second

// EvacuationReply is the answer to an order that was carried out.
type EvacuationReply struct {
	DataCentre string `json:"data-centre"`
	Evacuated  bool   `json:"evacuated"`
}

// evacuate carries out an order to evacuate a data centre with the method POST, or to end that with DELETE.
func (a *Administrator) evacuate(ctx *fasthttp.RequestCtx, dataCentre, method string) {
	if method != fasthttp.MethodPost && method != fasthttp.MethodDelete {
		writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Title: "no such path or method"})
		return
	}
	order := &replicator.Evacuation{DataCentre: dataCentre, Withdrawn: method == fasthttp.MethodDelete}
	timeoutCtx, cancel := context.WithTimeout(context.Background(), evacuationTimeout)
	defer cancel()
	if err := a.evacuator.Evacuate(timeoutCtx, order); err != nil {
		writeProblem(ctx, evacuationProblem(err))
		return
	}
	WriteJSON(ctx, EvacuationReply{DataCentre: dataCentre, Evacuated: !order.Withdrawn})
}

// evacuationProblem returns the problem for an order that was not carried out.
func evacuationProblem(err error) Problem {
	switch {
	case errors.Is(err, replicator.ErrUnknownDataCentre):
		return Problem{Status: fasthttp.StatusNotFound, Title: err.Error()}
	case errors.Is(err, replicator.ErrLastDataCentre), errors.Is(err, replicator.ErrNotBootstrapped):
		return Problem{Status: fasthttp.StatusConflict, Title: err.Error()}
	default:
		return Problem{
			Status: fasthttp.StatusServiceUnavailable, Title: "the order may still come into force: send it again", Detail: err.Error(),
		}
	}
}
