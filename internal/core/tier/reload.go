package tier

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
)

// settingsPoll is the time between two looks whether the settings changed
// without a signal. They hold nothing that has to be in force sooner.
const settingsPollInterval = 2 * time.Second

// followSettings reads the settings again at each signal, and now and then.
func (t *Tier) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			t.reload("signal")
		case <-ticker.C:
			t.reload("poll")
		}
	}
}

// reload puts changed settings in force. Settings with faults leave those in
// force as they are; what needs a restart is named in the log.
func (t *Tier) reload(cause string) {
	next, err := t.loadSettings()
	if err != nil {
		t.events.Sample("settings_refused", cause, err.Error())
		return
	}
	last := t.current.Load()
	if *next == *last {
		return
	}
	t.current.Store(next)
	t.events.Record("settings_in_force", cause, "file changed",
		slog.Duration("lifetime", next.Answers.ListLifetime), slog.Float64("share", next.Extra.Share),
		slog.Float64("slack", next.Extra.Slack), slog.Bool("restart", needsRestart(last, next)))
}

// needsRestart reports whether a setting changed that is read at the start only.
func needsRestart(last, next *fwconf.Settings) bool {
	lastVM, nextVM := last.VM, next.VM
	lastVM.StopBound, nextVM.StopBound = 0, 0
	return lastVM != nextVM || last.Listen != next.Listen || last.Depot != next.Depot || last.Log != next.Log ||
		last.Answers.Partial != next.Answers.Partial || last.Extra.Window != next.Extra.Window || last.Cost != next.Cost || last.Servers != next.Servers
}

func (t *Tier) addressListLifetime() time.Duration {
	return t.current.Load().Answers.ListLifetime
}
