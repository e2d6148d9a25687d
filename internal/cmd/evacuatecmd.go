package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
)

func newEvacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send nothing to the upstreams of a data centre",
		ArgsUsage: "NAME",
		Flags: append(adminFlags(),
			&cli.BoolFlag{Name: "withdraw", Usage: "end the evacuation"},
		),
		Action: runEvacuate,
	}
}

func runEvacuate(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return usageError("%s: want the name of a data centre", command.Name)
	}
	method := fasthttp.MethodPost
	if command.Bool("withdraw") {
		method = fasthttp.MethodDelete
	}
	path := administrator.PathEvacuations + "/" + url.PathEscape(command.Args().First())
	resp, err := callAdmin(ctx, command, method, path, nil)
	if err != nil {
		return err
	}
	var reply administrator.EvacuationReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return err
	}
	state := "is not evacuated"
	if reply.Evacuated {
		state = "is evacuated"
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "data centre %s %s\n", reply.DataCentre, state)
	return nil
}
