package gateway

import (
	"context"
	"os"
	"time"
)

// settingsInterval is how often the settings file is checked: it may change without a signal.
const settingsInterval = time.Second

// watchSettings reloads the settings file when it changes or a signal arrives.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		if at := modTime(g.path); signalled || !at.Equal(g.settingsModified) {
			g.settingsModified = at
			g.reload(signalled)
		}
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (g *Gateway) reload(signalled bool) {
	next, err := LoadSettings(g.path)
	if err != nil {
		g.log.Error("cannot reload the settings; keeping the current ones", "error", err.Error())
		return
	}
	needRestart := g.current().restartNeeded(next)
	g.settings.Store(next)
	g.log.Info("settings reloaded", "signal", signalled, "need_restart", needRestart)
}
