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

// closeTime bounds the end of the platform's own listeners.
const closeTime = 200 * time.Millisecond

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
	if err := noArguments(command); err != nil {
		return err
	}
	path := command.String("settings")
	settings, err := platform.Load(path)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	debug.SetGCPercent(settings.NodeSettings.GCPercent)
	secrets, err := settings.NodeSettings.LoadSecrets()
	if err != nil {
		return withCode(ExitUsage, err)
	}
	ring := logger.NewRing(command.Root().Writer)
	defer ring.Close()
	logs, err := logger.New(ring, settings.NodeSettings.LogFormat, settings.NodeSettings.LogLevel)
	if err != nil {
		return withCode(ExitUsage, err)
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
	reload(ctx, path, node)
	node.DrainFor(settings.DrainTimes())
	closing, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	server.Close(closing)
	node.Close()
	return nil
}

// reloadInterval is how often the settings file is looked at, since it may change without a signal.
const reloadInterval = time.Second

// reload follows the settings file until ctx is done. A file that can't be read changes nothing.
func reload(ctx context.Context, path string, node *relayer.Node) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	changed := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := modified(path); now.Equal(changed) {
				continue
			}
		}
		changed = modified(path)
		settings, err := platform.Load(path)
		if err != nil {
			node.ReloadFailed(err)
			continue
		}
		node.Reload(settings.NodeSettings)
	}
}

// modified returns when the file was written last, or zero where that is not known.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
