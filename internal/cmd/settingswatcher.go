package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the interval between checks of the settings file, which can change without a signal.
const reloadInterval = time.Second

// settingsWatcher reloads a settings file that has changed.
type settingsWatcher struct {
	hangups chan os.Signal
	path    string
}

// newSettingsWatcher catches SIGHUP from now to the end of the process, which the signal would otherwise end at once.
func newSettingsWatcher(path string) *settingsWatcher {
	w := &settingsWatcher{hangups: make(chan os.Signal, 1), path: path}
	signal.Notify(w.hangups, syscall.SIGHUP)
	return w
}

// watch calls reload after each SIGHUP or change of the file's modification time, until ctx is done.
func (w *settingsWatcher) watch(ctx context.Context, reload func()) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModTime := modTime(w.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
		case <-ticker.C:
			if now := modTime(w.path); now.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(w.path)
		reload()
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
