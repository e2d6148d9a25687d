package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/loadgenerator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// errWrongAnswers is returned if a call got an answer that is not its own or not whole, or no answer at all;
// --allow-lost permits the latter.
var errWrongAnswers = merry.Sentinel("some calls got neither their own whole answer nor a refusal")

// errWriteOutcomes is returned if the outcomes file could not be written.
var errWriteOutcomes = merry.Sentinel("outcomes can't be written")

func newLoadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to nodes and check every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "api-key-file", Usage: "`FILE` with the API key to send"},
			&cli.IntFlag{Name: "answer-bytes", Usage: "size of the payload to ask for", Value: 200},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send", Value: 10 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.StringFlag{Name: "outcomes", Usage: "`FILE` to write one line for each request to"},
			&cli.StringFlag{Name: "prefix", Usage: "prefix of every request id", Value: "load"},
			&cli.BoolFlag{Name: "allow-lost", Usage: "do not fail if calls get no answer at all"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 100},
			&cli.StringSliceFlag{Name: "request", Usage: "kind of request, `\"METHOD PATH [WEIGHT]\"`; repeat for a mix", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the arrivals", Value: 1},
			&cli.StringSliceFlag{Name: "target", Usage: "a node's caller `ADDRESS`; repeat for several", Required: true},
			&cli.DurationFlag{Name: "timeout", Usage: "longest wait for an answer", Value: 10 * time.Second},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	config, err := parseLoadConfig(command)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	observe, finish, err := openOutcomes(command.String("outcomes"))
	if err != nil {
		return usageError("--outcomes: %w", err)
	}
	generator := loadgenerator.New(timekeeper.System{}, config, observe)
	generator.Run(ctx)
	if err := finish(); err != nil {
		return err
	}
	results := generator.Results()
	out := command.Root().Writer
	if command.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			return err
		}
	} else {
		printResults(out, results)
	}
	for _, result := range results {
		if result.Wrong > 0 || (result.Lost > 0 && !command.Bool("allow-lost")) {
			return errWrongAnswers
		}
	}
	return nil
}

// parseLoadConfig returns the load generator's configuration from the command's flags.
func parseLoadConfig(command *cli.Command) (loadgenerator.Config, error) {
	config := loadgenerator.Config{
		AnswerBytes: command.Int("answer-bytes"),
		Duration:    command.Duration("duration"),
		Prefix:      command.String("prefix"),
		Rate:        command.Float("rate"),
		Seed:        command.Uint64("seed"),
		Timeout:     command.Duration("timeout"),
	}
	if file := command.String("api-key-file"); file != "" {
		key, err := os.ReadFile(file)
		if err != nil {
			return config, fmt.Errorf("--api-key-file: %w", err)
		}
		config.APIKey = strings.TrimSpace(string(key))
	}
	if config.Rate <= 0 {
		return config, fmt.Errorf("--rate: %g: want more than 0", config.Rate)
	}
	for _, text := range command.StringSlice("request") {
		kind, err := loadgenerator.ParseKind(text)
		if err != nil {
			return config, merry.Prepend(err, "--request")
		}
		config.Kinds = append(config.Kinds, kind)
	}
	for _, text := range command.StringSlice("target") {
		target, err := netip.ParseAddrPort(text)
		if err != nil {
			return config, fmt.Errorf("--target: %q: want an IP and port", text)
		}
		config.Targets = append(config.Targets, target)
	}
	return config, nil
}

// openOutcomes returns a function that writes outcomes to the file, which is safe for concurrent use, and one
// that closes the file and reports failed writes. Without a path the first one is nil.
func openOutcomes(path string) (func(loadgenerator.Outcome), func() error, error) {
	if path == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	out := bufio.NewWriter(file)
	observe := func(outcome loadgenerator.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		// A failed write is reported by Flush.
		_, _ = fmt.Fprintln(out, outcome.String())
	}
	finish := func() error {
		mu.Lock()
		defer mu.Unlock()
		if err := errors.Join(out.Flush(), file.Close()); err != nil {
			return fmt.Errorf("%w: %w", errWriteOutcomes, err)
		}
		return nil
	}
	return observe, finish, nil
}

func printResults(out io.Writer, results []loadgenerator.Result) {
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "%-24s sent %d answered %d lost %d wrong %d p50 %s p99 %s p99.9 %s",
			r.Kind, r.Sent, r.Answered, r.Lost, r.Wrong, r.P50, r.P99, r.P999)
		for reason, count := range r.Refused {
			_, _ = fmt.Fprintf(out, " %s %d", reason, count)
		}
		_, _ = fmt.Fprintln(out)
	}
}
