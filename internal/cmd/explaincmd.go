package cmd

import (
	"context"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/explainer"
)

var errNoLines = merry.Sentinel("no line tells of this request; ordinary ones are told of in part only")

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of one request from the logs of several processes",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request, or of the call that a line names", Required: true},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return usageError("want the log files of the processes")
	}
	logs := make(map[string]io.Reader)
	for _, path := range command.Args().Slice() {
		file, err := os.Open(path)
		if err != nil {
			return withCode(ExitUsage, err)
		}
		defer func() { _ = file.Close() }()
		logs[path] = file
	}
	lines, err := explainer.Find(command.String("request"), logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return withCode(ExitFailed, errNoLines)
	}
	return explainer.Write(command.Root().Writer, lines)
}
