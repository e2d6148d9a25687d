// Package cmd implements the command line interface. Each command parses its flags and delegates the work
// to other packages.
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

// Exit codes of the program.
const (
	// ExitOK reports success.
	ExitOK = iota
	// ExitFailed reports a failure after the work was started.
	ExitFailed
	// ExitUsage reports invalid flags, settings or documents; nothing was started.
	ExitUsage
	// ExitConflict reports a change that conflicts with an earlier one.
	ExitConflict
	// ExitUnavailable reports that a node or a majority of the control replicas can't be reached.
	ExitUnavailable
)

// Version is the version of the program, as --version prints it.
const Version = "0.1.0"

// exitError is an error with the exit code of the program.
type exitError struct {
	cause error
	code  int
}

// Error implements error.
func (c *exitError) Error() string {
	return c.cause.Error()
}

// Unwrap returns the cause.
func (c *exitError) Unwrap() error {
	return c.cause
}

// withExitCode adds an exit code to err. It returns nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{cause: err, code: code}
}

// usageError returns a formatted error with ExitUsage.
func usageError(format string, args ...any) error {
	return withExitCode(ExitUsage, fmt.Errorf(format, args...))
}

// Main runs the program with the given arguments, the first being its name, until it ends or receives
// SIGINT or SIGTERM. It returns the exit code. The signals stay caught, so that a further one doesn't end the program
// before it has exited with this code.
func Main(args []string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
	}()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "marigoldrelay: %s\n", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
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
			newDecideCommand(),
			newDemoCommand(),
			newEvacuateCommand(),
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
		Action:                showHelp,
	}
	setUsageErrorHandler(root.Commands)
	return root
}

func setUsageErrorHandler(commands []*cli.Command) {
	for _, command := range commands {
		command.OnUsageError = onUsageError
		setUsageErrorHandler(command.Commands)
	}
}

// metadataStderr is the key of the standard error writer in the root command's metadata.
const metadataStderr = "stderr"

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withExitCode(ExitUsage, err)
}

// showHelp is the action of commands that only group others. It shows the help, or returns an error if the
// first argument is not a command.
func showHelp(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError("no command %q; see marigoldrelay --help", command.Args().First())
	}
	return cli.ShowAppHelp(command)
}

// requireNoArguments returns a usage error if the command has arguments.
func requireNoArguments(command *cli.Command) error {
	if command.Args().Present() {
		return usageError("%s: unexpected argument %q", command.Name, command.Args().First())
	}
	return nil
}

// stderrOf returns the writer for messages beside the command's output.
func stderrOf(command *cli.Command) io.Writer {
	if w, ok := command.Root().Metadata[metadataStderr].(io.Writer); ok {
		return w
	}
	return os.Stderr
}
