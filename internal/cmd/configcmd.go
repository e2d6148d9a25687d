package cmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

func newConfigCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, read and change the configuration document",
		Commands: []*cli.Command{
			newConfigCheckCommand(),
			newConfigGetCommand(),
			newConfigHistoryCommand(),
			newConfigSetCommand(),
		},
		Action: showHelp,
	}
}

func newConfigCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document without a node",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			text, err := readDocument(command)
			if err != nil {
				return err
			}
			_, err = validator.Parse(text)
			return withExitCode(ExitUsage, splitFieldErrors(command.Args().First(), err))
		},
	}
}

// splitFieldErrors puts each field error on a line of its own, after the file's name. It returns other errors
// as they are.
func splitFieldErrors(file string, err error) error {
	var fields validator.FieldErrors
	if !errors.As(err, &fields) {
		return err
	}
	lines := make([]string, 0, len(fields))
	for _, field := range fields {
		lines = append(lines, field.Error())
	}
	return fmt.Errorf("%s: %s", file, strings.Join(lines, "\n  "))
}

// readDocument reads the file that is the command's only argument.
func readDocument(command *cli.Command) ([]byte, error) {
	if command.Args().Len() != 1 {
		return nil, usageError("%s: want the document's file", command.Name)
	}
	text, err := os.ReadFile(command.Args().First())
	if err != nil {
		return nil, usageError("%w", err)
	}
	return text, nil
}

func newConfigGetCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the document in force",
		Flags: append(adminFlags(),
			&cli.Uint64Flag{Name: "version", Usage: "earlier version to print, if its text is still kept"},
		),
		Action: runConfigGet,
	}
}

func runConfigGet(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	path := administrator.PathDocument
	if version := command.Uint64("version"); version > 0 {
		path = fmt.Sprintf("%s/%d", administrator.PathHistory, version)
	}
	resp, err := callAdmin(ctx, command, fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if string(resp.Header.Peek(administrator.HeaderStale)) == "true" {
		warnStale(command)
	}
	if tag := resp.Header.Peek(fasthttp.HeaderETag); len(tag) > 0 {
		_, _ = fmt.Fprintf(stderrOf(command), "version %s\n", strings.Trim(string(tag), `"`))
	}
	_, err = command.Root().Writer.Write(resp.Body())
	return err
}

// warnStale warns that the answer was not read from a majority of the control replicas.
func warnStale(command *cli.Command) {
	_, _ = fmt.Fprintln(stderrOf(command), "warning: no majority of the control replicas answers; there may be a newer version")
}

func newConfigHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the latest versions",
		Flags:  adminFlags(),
		Action: runConfigHistory,
	}
}

func runConfigHistory(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	resp, err := callAdmin(ctx, command, fasthttp.MethodGet, administrator.PathHistory, nil)
	if err != nil {
		return err
	}
	var reply administrator.HistoryReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return err
	}
	if reply.Stale {
		warnStale(command)
	}
	for _, entry := range reply.Entries {
		_, _ = fmt.Fprintf(command.Root().Writer, "%d  %s  %s  %s\n",
			entry.Version, entry.Time.Format(time.RFC3339), entry.ChangeID, entry.Author)
	}
	return nil
}

func newConfigSetCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "put a document in force",
		ArgsUsage: "FILE",
		Flags: append(adminFlags(),
			&cli.StringFlag{Name: "author", Usage: "`NAME` of the operator, for the history"},
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on"},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` that distinguishes a resent change from a new one; random if omitted"},
			&cli.BoolFlag{Name: "first", Usage: "create the first version of a new deployment"},
		),
		Action: runConfigSet,
	}
}

func runConfigSet(ctx context.Context, command *cli.Command) error {
	text, err := readDocument(command)
	if err != nil {
		return err
	}
	if command.IsSet("base") == command.Bool("first") {
		return usageError("set: want either --base or --first")
	}
	if _, err := validator.Parse(text); err != nil {
		return withExitCode(ExitUsage, splitFieldErrors(command.Args().First(), err))
	}
	id := command.String("change-id")
	if id == "" {
		id = strings.ToLower(rand.Text())
	}
	resp, err := callAdmin(ctx, command, fasthttp.MethodPut, administrator.PathDocument, func(req *fasthttp.Request) {
		req.SetBody(text)
		req.Header.Set(administrator.HeaderAuthor, command.String("author"))
		req.Header.Set(administrator.HeaderChangeID, id)
		if command.Bool("first") {
			req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
			return
		}
		req.Header.Set(fasthttp.HeaderIfMatch, fmt.Sprintf("%q", fmt.Sprint(command.Uint64("base"))))
	})
	if err != nil {
		return fmt.Errorf("change %s: %w", id, err)
	}
	var reply administrator.ChangeReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "version %d is in force\n", reply.Version)
	return nil
}

// callAdmin calls the administration API. Prepare completes the request and can be nil. A status other than
// 200 gives an error with an exit code.
func callAdmin(ctx context.Context, command *cli.Command, method, path string, prepare func(*fasthttp.Request)) (*fasthttp.Response, error) {
	client, err := newAdminClient(command)
	if err != nil {
		return nil, err
	}
	resp, err := client.do(ctx, method, path, prepare)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return resp, nil
	}
	var problem administrator.Problem
	if err := json.Unmarshal(resp.Body(), &problem); err != nil {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil, withExitCode(exitCode(&problem), problemError(&problem))
}

// exitCode returns the exit code for a refused request.
func exitCode(problem *administrator.Problem) int {
	switch problem.Status {
	case fasthttp.StatusPreconditionFailed, fasthttp.StatusConflict:
		return ExitConflict
	case fasthttp.StatusServiceUnavailable:
		return ExitUnavailable
	case fasthttp.StatusUnprocessableEntity:
		return ExitUsage
	default:
		return ExitFailed
	}
}

// problemError returns an error with the problem's title, detail and field errors on lines of their own.
func problemError(problem *administrator.Problem) error {
	lines := []string{problem.Title}
	if problem.Current > 0 {
		lines[0] += fmt.Sprintf(": version %d is in force", problem.Current)
	}
	if problem.Detail != "" {
		lines = append(lines, problem.Detail)
	}
	for _, field := range problem.Errors {
		lines = append(lines, field.Error())
	}
	return errors.New(strings.Join(lines, "\n  "))
}
