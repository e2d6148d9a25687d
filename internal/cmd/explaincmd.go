package cmd

import (
	"context"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/explainer"
)

// errNoLines is returned if the logs hold no line on the request.
var errNoLines = merry.Sentinel("no log line names this request; only a part of the ordinary requests is logged")

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines on one request from the logs of several processes in the order of time",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request, or of the call as log lines name it", Required: true},
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
			return withExitCode(ExitUsage, err)
		}
		defer func() { _ = file.Close() }()
		logs[path] = file
	}
	lines, err := explainer.Find(command.String("request"), logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return withExitCode(ExitFailed, errNoLines)
	}
	return explainer.Write(command.Root().Writer, lines)
}
