package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
)

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run nodes, stand-in upstreams and a light load in one process",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long to run; 0 runs until interrupted"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := requireNoArguments(command); err != nil {
				return err
			}
			return demonstrator.Run(ctx, command.Root().Writer, command.Duration("duration"))
		},
	}
}
