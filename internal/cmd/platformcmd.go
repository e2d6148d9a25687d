package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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
	// The signal stays caught to the end of the process, which it would otherwise end at once.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := command.String("settings")
	settings, err := platform.Load(path)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	debug.SetGCPercent(settings.NodeSettings.GCPercent)
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
		relayer.WithParser(settings.Budget.Parse),
		relayer.WithPolicy(router.Cheapest{}),
	)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	server := platform.NewServer(node, settings.Budget, logs)
	if err := server.Serve(settings.PlatformAddress); err != nil {
		return err
	}
	if err := server.Serve(settings.ReadyAddress); err != nil {
		return err
	}
	watchSettings(ctx, hangups, path, node)
	notice, limit := settings.DrainTimes()
	// The platform's requests may take what draining leaves of its time.
	closing, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	node.DrainFor(notice, limit)
	server.Close(closing)
	node.Close()
	return nil
}

// reloadInterval is the interval between checks of the settings file, which can change without a signal.
const reloadInterval = time.Second

// watchSettings reloads the settings file after each signal in hangups or change of its modification time, until ctx
// is done. If the file can't be read, the node keeps its settings.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, node *relayer.Node) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := modTime(path); now.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		settings, err := platform.Load(path)
		if err != nil {
			node.ReloadFailed(err)
			continue
		}
		node.Reload(settings.NodeSettings)
	}
}

// modTime returns the file's modification time, or the zero time if the file can't be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
