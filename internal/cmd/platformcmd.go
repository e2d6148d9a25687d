package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/platform"
)

func newPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a node on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings in JSON with comments", Required: true},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	if err := requireNoArguments(command); err != nil {
		return err
	}
	path := command.String("settings")
	watcher := newSettingsWatcher(path)
	settings, err := platform.Load(path)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	limitHeap(settings.NodeSettings)
	secrets, err := settings.NodeSettings.LoadSecrets()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	logWriter := logger.NewAsyncWriter(command.Root().Writer)
	defer logWriter.Close()
	logs, err := logger.New(logWriter, settings.NodeSettings.LogFormat, settings.NodeSettings.LogLevel)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	node, err := relayer.New(settings.NodeSettings, secrets, logs,
		relayer.WithInterpreter(platform.Interpreter{}),
		relayer.WithParser(platform.NewTranslator(settings.Budget).Parse),
		relayer.WithPolicy(router.Cheapest{}),
	)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	server := platform.NewServer(node, settings.Budget, logs)
	server.LimitMemory(node.ControlListenerLimits())
	if err := server.Serve(settings.PlatformAddress); err != nil {
		return err
	}
	if err := server.Serve(settings.ReadyAddress); err != nil {
		return err
	}
	watcher.watch(ctx, func() { reloadPlatformSettings(path, node) })
	notice, limit := settings.DrainTimes()
	// The platform's requests may take what draining leaves of its time.
	closing, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	node.DrainFor(notice, limit)
	server.Close(closing)
	node.Close()
	return nil
}

// reloadPlatformSettings reads the settings file again. If it can't be read, the node keeps its settings.
func reloadPlatformSettings(path string, node *relayer.Node) {
	settings, err := platform.Load(path)
	if err != nil {
		node.ReloadFailed(err)
		return
	}
	node.Reload(settings.NodeSettings)
}
