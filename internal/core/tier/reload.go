package tier

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/samphirestair/samphirestair/internal/conf/fwconf"
)

// settingsPollInterval is the time between two reads of the settings without a
// signal. No setting has to take effect sooner.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings at each signal and every
// settingsPollInterval, until ctx ends.
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

// reload applies the settings if they changed. If they can't be read or are
// invalid, the current ones stay in force. The log line says whether a change
// needs a restart. cause is "signal" or "poll".
func (t *Tier) reload(cause string) {
	next, err := t.loadSettings()
	if err != nil {
		t.events.Sample("settings_refused", cause, err.Error())
		return
	}
	last := t.current.Load()
	if reflect.DeepEqual(next, last) {
		return
	}
	t.current.Store(next)
	t.events.Record("settings_in_force", cause, "file changed",
		slog.Duration("lifetime", next.Answers.ListLifetime), slog.Float64("share", next.RetryBudget.Share),
		slog.Float64("slack", next.RetryBudget.Slack), slog.Bool("restart", needsRestart(last, next)))
}

// needsRestart reports whether a setting changed that is read only at startup.
func needsRestart(last, next *fwconf.Settings) bool {
	lastVM, nextVM := last.VM, next.VM
	lastVM.StopBound, nextVM.StopBound = 0, 0
	return lastVM != nextVM || last.Listen != next.Listen || last.Depot != next.Depot || last.Log != next.Log ||
		last.Answers.Partial != next.Answers.Partial || last.RetryBudget.Window != next.RetryBudget.Window || last.Cost != next.Cost || last.Servers != next.Servers ||
		!reflect.DeepEqual(last.Quarantine, next.Quarantine)
}

// addressListLifetime is the time for which callers may use an address list.
func (t *Tier) addressListLifetime() time.Duration {
	return t.current.Load().Answers.ListLifetime
}
