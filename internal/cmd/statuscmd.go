package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// adminTimeout bounds one request to the administration API.
const adminTimeout = 10 * time.Second

// adminFlags returns the flags of every command that calls a node's administration API.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "a node's administration `ADDRESS`", Required: true},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the administration token", Required: true},
	}
}

// adminClient calls the administration API of one node.
type adminClient struct {
	pool  *forwarder.Pool
	token string
}

func newAdminClient(command *cli.Command) (*adminClient, error) {
	address, err := netip.ParseAddrPort(command.String("admin"))
	if err != nil {
		return nil, usageError("--admin: %q: want an IP and port", command.String("admin"))
	}
	token, err := os.ReadFile(command.String("token-file"))
	if err != nil {
		return nil, usageError("--token-file: %w", err)
	}
	pool := forwarder.New(address, timekeeper.System{})
	return &adminClient{pool: pool, token: strings.TrimSpace(string(token))}, nil
}

// do sends a request and returns the answer's status, headers and body. Prepare completes the request before
// it is sent and can be nil.
func (a *adminClient) do(ctx context.Context, method, path string, prepare func(*fasthttp.Request)) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("admin")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.token)
	if prepare != nil {
		prepare(req)
	}
	resp := &fasthttp.Response{}
	err := a.pool.Do(ctx, &forwarder.Exchange{
		Deadline:      time.Now().Add(adminTimeout),
		NewConnection: true,
		Request:       req,
		Response:      resp,
	})
	if err != nil {
		return nil, withExitCode(ExitUnavailable, err)
	}
	return resp, nil
}

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show members, upstreams, loads and the configuration's version",
		Flags: append(adminFlags(),
			&cli.BoolFlag{Name: "json", Usage: "print the status as JSON"},
		),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	resp, err := callAdmin(ctx, command, fasthttp.MethodGet, administrator.PathStatus, nil)
	if err != nil {
		return err
	}
	return printReply(command, resp, func(out io.Writer, status *relayer.Status) error {
		printStatus(out, status)
		return nil
	})
}

// printReply prints the JSON of an answer with the flag json, and otherwise what write makes of it.
func printReply[T any](command *cli.Command, resp *fasthttp.Response, write func(out io.Writer, reply *T) error) error {
	out := command.Root().Writer
	if command.Bool("json") {
		_, err := out.Write(append(resp.Body(), '\n'))
		return err
	}
	var reply T
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return err
	}
	return write(out, &reply)
}

// printStatus writes the status as text for operators.
func printStatus(out io.Writer, status *relayer.Status) {
	load := status.Executor.Load
	_, _ = fmt.Fprintf(out, "node %s, document version %d\n", status.Name, status.DocumentVersion)
	if len(status.Evacuated) > 0 {
		_, _ = fmt.Fprintf(out, "evacuated: %s\n", strings.Join(status.Evacuated, ", "))
	}
	if status.DiskID != "" {
		_, _ = fmt.Fprintf(out, "control replica, disk id %s\n", status.DiskID)
	}
	_, _ = fmt.Fprintf(out, "upstream %s: %d of %d slots, %d queued, latency %s\n",
		status.Executor.Announcement.State, load.Running, load.Slots, load.Queued, load.Latency)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "MEMBER\tDATA CENTRE\tSTATUS\tSERVICE\tUPSTREAM\tSLOTS")
	for _, m := range status.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.DataCentre, m.Status, m.Service, m.Upstream, m.Slots)
	}
	_ = table.Flush()
	for _, account := range status.Accounts {
		_, _ = fmt.Fprintf(out, "account %s %s: %s of slot-time\n", account.Rank, account.Neighbour, account.SlotTime)
	}
}
