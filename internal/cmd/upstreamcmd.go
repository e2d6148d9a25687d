package cmd

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/responder"
)

// crashExitCode is the exit code of a stand-in upstream that crashes on request.
const crashExitCode = 99

func newUpstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run a stand-in upstream that announces itself to a node",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "announce", Usage: "the node's announce `ADDRESS`", Required: true},
			&cli.DurationFlag{Name: "cold-start", Usage: "time before the upstream is ready"},
			&cli.BoolFlag{Name: "fail-fast", Usage: "answer every request with status 503 at once"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to which the id of each executed request is appended"},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.DurationFlag{Name: "service-time", Usage: "mean service time of a request", Value: 10 * time.Millisecond},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that run at once", Value: 12},
			&cli.FloatFlag{Name: "straggle", Usage: "`FACTOR` that multiplies every service time", Value: 1},
			&cli.BoolFlag{Name: "steady", Usage: "make every request take exactly the service time"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the service times", Value: 1},
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	node, err := netip.ParseAddrPort(command.String("announce"))
	if err != nil {
		return usageError("--announce: %q: want an IP and port", command.String("announce"))
	}
	if command.Int("slots") < 1 {
		return usageError("--slots: %d: want at least 1", command.Int("slots"))
	}
	if command.Duration("service-time") < 0 {
		return usageError("--service-time: %s: want at least 0s", command.Duration("service-time"))
	}
	journal, closeJournal, err := openJournal(command.String("journal"))
	if err != nil {
		return usageError("--journal: %w", err)
	}
	defer closeJournal()
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return usageError("--listen: %w", err)
	}
	upstream, err := responder.New(listener, responder.Config{
		Behaviour: behaviourFromFlags(command),
		ColdStart: command.Duration("cold-start"),
		Journal:   journal,
		Node:      node,
		OnCrash:   func() { os.Exit(crashExitCode) },
		Seed:      command.Uint64("seed"),
		Service:   command.String("service"),
	})
	if err != nil {
		return err
	}
	upstream.Start()
	<-ctx.Done()
	err = upstream.Drain()
	upstream.Stop()
	return err
}

func behaviourFromFlags(command *cli.Command) responder.Behaviour {
	return responder.Behaviour{
		FailFast:       command.Bool("fail-fast"),
		ServiceTime:    command.Duration("service-time"),
		Slots:          command.Int("slots"),
		Steady:         command.Bool("steady"),
		StraggleFactor: command.Float("straggle"),
	}
}

// openJournal opens the journal for appending and returns it with a function that closes it. Without a path
// the journal is kept in memory only.
func openJournal(path string) (*responder.Journal, func(), error) {
	if path == "" {
		return responder.NewJournal(nil), func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, err
	}
	return responder.NewJournal(file), func() { _ = file.Close() }, nil
}
