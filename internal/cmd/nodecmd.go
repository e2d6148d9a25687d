package cmd

import (
	"context"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
)

func newNodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a node beside an upstream",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the node's settings in JSON with comments", Required: true},
		},
		Action: runNode,
	}
}

func runNode(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	path := command.String("settings")
	watcher := newSettingsWatcher(path)
	settings, err := settingsreader.Load(path)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	limitHeap(settings)
	secrets, err := settings.LoadSecrets()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	document, err := settings.LoadDocument()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	logs, err := logger.New(stderrOf(command), settings.LogFormat, settings.LogLevel)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	node, err := relayer.New(settings, secrets, logs)
	if err != nil {
		return err
	}
	if document != nil {
		node.SetInitialDocument(document)
	}
	if err := node.Start(); err != nil {
		return err
	}
	watcher.watch(ctx, func() { reloadSettings(path, node) })
	node.Drain()
	node.Close()
	return nil
}

// limitHeap sets when the runtime collects garbage: at the growth that the settings allow, and before the memory that they name
// is used up.
func limitHeap(settings *settingsreader.Settings) {
	debug.SetGCPercent(settings.GCPercent)
	if limit := settings.Shares().HeapBytes; limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
}

// reloadSettings reads the settings file again. If it can't be read, the node keeps its settings.
func reloadSettings(path string, node *relayer.Node) {
	settings, err := settingsreader.Load(path)
	if err != nil {
		node.ReloadFailed(err)
		return
	}
	node.Reload(settings)
}
