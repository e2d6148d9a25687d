package cmd

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
)

func newDecideCommand() *cli.Command {
	return &cli.Command{
		Name:      "decide",
		Usage:     "show where a node would send a request now, and why, without sending it",
		ArgsUsage: "PATH",
		Flags: append(adminFlags(),
			&cli.StringFlag{Name: "host", Usage: "the `HOST` of the request"},
			&cli.StringFlag{Name: "method", Usage: "the HTTP `METHOD`", Value: fasthttp.MethodGet},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace whose API key the request would carry"},
			&cli.BoolFlag{Name: "json", Usage: "print the decision as JSON"},
		),
		Action: runDecide,
	}
}

func runDecide(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return usageError("%s: want the path of a request", command.Name)
	}
	query := url.Values{
		"host": {command.String("host")}, "method": {command.String("method")}, "path": {command.Args().First()},
		"workspace": {command.String("workspace")},
	}
	resp, err := callAdmin(ctx, command, fasthttp.MethodGet, administrator.PathDecision+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	return printReply(command, resp, writeDecision)
}

// writeDecision prints a decision as text.
func writeDecision(out io.Writer, d *relayer.Decision) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if d.Refusal != "" {
		_, _ = fmt.Fprintf(table, "refused\t%s: %s\n", d.Refusal, d.Detail)
	}
	if d.Rank != "" {
		_, _ = fmt.Fprintf(table, "route\t%s\nrank\t%s\n", d.Route, d.Rank)
	}
	if d.RatePerSecond > 0 {
		_, _ = fmt.Fprintf(table, "quota\t%g a second, burst %g\n", d.RatePerSecond, d.Burst)
	}
	for i := range d.Services {
		service := &d.Services[i]
		_, _ = fmt.Fprintf(table, "service\t%s\n", service.Service)
		if service.Weight > 0 {
			_, _ = fmt.Fprintf(table, "weight\t%g\n", service.Weight)
		}
		if service.ShareSentAway > 0 {
			_, _ = fmt.Fprintf(table, "leaves the data centre\t%.2f\n", service.ShareSentAway)
		}
		for j := range service.Candidates {
			writeCandidate(table, &service.Candidates[j])
		}
	}
	return table.Flush()
}

// percent is the load of an upstream whose slots are all in use.
const percent = 100

func writeCandidate(table io.Writer, c *router.CandidateState) {
	verdict := "can be picked"
	switch {
	case c.RuledOut != "":
		verdict = "ruled out: " + c.RuledOut
	case c.Slow:
		verdict = "slow"
	case c.StartDelay > 0:
		verdict = "delayed by " + c.StartDelay.Std().String()
	}
	_, _ = fmt.Fprintf(table, "candidate\t%s\t%s\tload %.0f%% of %d slots, %s old\t%s\n",
		c.Name, c.DataCentre, percent*c.Load, c.Slots, c.ReportAge.Std(), verdict)
}
