// Package cmd is the command line. Each command reads its flags and leaves the work to other
// packages.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	ExitOK = iota
	// ExitFailed is for work that was begun and went wrong.
	ExitFailed
	// ExitUsage is for flags, settings or documents that are not valid; nothing was started.
	ExitUsage
	// ExitConflict is for a change that another change came before.
	ExitConflict
	// ExitUnavailable is for a node or a majority of control replicas that can't be reached.
	ExitUnavailable
)

// Version is the version of the program.
const Version = "0.1.0"

// codedError carries the exit code that its cause calls for.
type codedError struct {
	cause error
	code  int
}

// Error implements error.
func (c *codedError) Error() string {
	return c.cause.Error()
}

// Unwrap returns the cause.
func (c *codedError) Unwrap() error {
	return c.cause
}

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{cause: err, code: code}
}

func usageError(format string, args ...any) error {
	return withCode(ExitUsage, fmt.Errorf(format, args...))
}

// Main runs the program with the given arguments and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "marigoldrelay: %s\n", err)
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:  "marigoldrelay",
		Usage: "balance load over servers whose load shifts in milliseconds",
		Description: "Start with `marigoldrelay demo`, which runs a whole deployment in one process.\n" +
			"Exit codes: 0 done, 1 failed, 2 invalid flags, settings or document,\n" +
			"3 conflict with another change, 4 node or control replicas can't be reached.",
		Version: Version,
		Commands: []*cli.Command{
			newConfigCommand(),
			newDemoCommand(),
			newLoadCommand(),
			newNodeCommand(),
			newExplainCommand(),
			newPlatformCommand(),
			newStatusCommand(),
			newUpstreamCommand(),
		},
		CommandNotFound:       func(context.Context, *cli.Command, string) {},
		EnableShellCompletion: true,
		ErrWriter:             io.Discard,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          onUsageError,
		Writer:                stdout,
		Metadata:              map[string]any{metadataStderr: stderr},
		Action:                refuseArguments,
	}
	setUsageErrors(root.Commands)
	return root
}

func setUsageErrors(commands []*cli.Command) {
	for _, command := range commands {
		command.OnUsageError = onUsageError
		setUsageErrors(command.Commands)
	}
}

const metadataStderr = "stderr"

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withCode(ExitUsage, err)
}

// refuseArguments shows the help, or refuses a command that does not exist.
func refuseArguments(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError("no command %q; see marigoldrelay --help", command.Args().First())
	}
	return cli.ShowAppHelp(command)
}

func noArguments(command *cli.Command) error {
	if command.Args().Present() {
		return usageError("%s: unexpected argument %q", command.Name, command.Args().First())
	}
	return nil
}

func stderrOf(command *cli.Command) io.Writer {
	if w, ok := command.Root().Metadata[metadataStderr].(io.Writer); ok {
		return w
	}
	return os.Stderr
}
