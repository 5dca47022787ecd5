package instance

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/telemetry/field"
)

// checkPeriod is the time between two looks at the settings file, which may
// change without a signal.
const checkPeriod = time.Second

// watchSettings reads the settings file again when it changes or a signal asks for it.
func (i *Instance) watchSettings(ctx context.Context, file platform.SettingsFile, reload <-chan os.Signal) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	seen := fileStamp(file.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			i.log.Info("settings are read again", zap.String(field.Cause, "signal"))
			seen = fileStamp(file.Path)
			i.readSettings(file)
		case <-ticker.C:
			if stamp := fileStamp(file.Path); stamp != seen {
				seen = stamp
				i.log.Info("settings are read again", zap.String(field.Cause, "changed file"))
				i.readSettings(file)
			}
		}
	}
}

type stamp struct {
	modified int64
	size     int64
}

// fileStamp tells two states of a file apart; it is zero for one that cannot be read.
func fileStamp(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime().UnixNano(), size: info.Size()}
}

// readSettings takes over what may change while the process runs. Settings that
// cannot be read leave the last ones in force.
func (i *Instance) readSettings(file platform.SettingsFile) {
	settings, err := file.Load()
	if err != nil {
		i.log.Error("settings cannot be read, the last ones stay in force", zap.Error(err))
		return
	}
	i.apply(settings)
}

func (i *Instance) apply(settings platform.Settings) {
	before := i.settings.Swap(&settings)
	i.fleet.SetSeeds(settings.Seeds)
	i.retries.SetLimits(settings.RetryRatio*retryShare, retryReserve(settings))
	i.ledger.SetTolerance(settings.Quota)
	setMemoryLimit(settings)
	if settings.Callers != before.Callers || settings.Ready != before.Ready || settings.Peers != before.Peers || settings.Store != before.Store {
		i.log.Warn("addresses in the settings changed; they are in force after a restart")
	}
	i.log.Info("settings in force", zap.Bool(field.Changed, !reflect.DeepEqual(*before, settings)))
}

// setMemoryLimit has the garbage collector keep to a part of the machine's memory.
func setMemoryLimit(settings platform.Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
}
