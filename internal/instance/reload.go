package instance

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/telemetry/field"
)

// checkPeriod is the interval between checks of the settings file, which may
// change without a signal.
const checkPeriod = time.Second

// watchSettings reloads the settings file when it changes or reload receives a signal.
func (i *Instance) watchSettings(ctx context.Context, file platform.SettingsFile, reload <-chan os.Signal) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	seen := fileStamp(file.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			i.log.Info("reloading settings", zap.String(field.Cause, "signal"))
			seen = fileStamp(file.Path)
			i.readSettings(file)
		case <-ticker.C:
			if stamp := fileStamp(file.Path); stamp != seen {
				seen = stamp
				i.log.Info("reloading settings", zap.String(field.Cause, "changed file"))
				i.readSettings(file)
			}
		}
	}
}

// stamp identifies a state of a file.
type stamp struct {
	modified int64
	size     int64
}

// fileStamp returns the current stamp of a file, or a zero stamp if the file
// cannot be read.
func fileStamp(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime().UnixNano(), size: info.Size()}
}

// readSettings applies the settings that may change while the process runs. If the file
// cannot be read, the last settings stay in force.
func (i *Instance) readSettings(file platform.SettingsFile) {
	settings, err := file.Load()
	if err != nil {
		i.log.Error("settings not loaded, last ones stay in force", zap.Error(err))
		return
	}
	i.applySettings(settings)
}

func (i *Instance) applySettings(settings platform.Settings) {
	previous := i.settings.Swap(&settings)
	i.fleet.SetSeeds(settings.Seeds)
	i.retries.SetLimits(settings.RetryRatio*retryShare, retryReserve(settings))
	i.ledger.SetTolerance(settings.Quota)
	i.setMemoryLimits(settings)
	i.groups.SetRegions(settings.Regions)
	i.applyEvacuations()
	i.shared.Refresh()
	i.local.Refresh()
	i.applyCallerLimits()
	if settings.Callers != previous.Callers || settings.Ready != previous.Ready || settings.Peers != previous.Peers || settings.Store != previous.Store {
		i.log.Warn("addresses in the settings changed, restart required")
	}
	i.log.Info("settings in force", zap.Bool(field.Changed, !reflect.DeepEqual(*previous, settings)))
}

// setMemoryLimits sets the garbage collector's soft limit and the bound of the requests in
// flight and their connections to parts of the machine's memory.
func (i *Instance) setMemoryLimits(settings platform.Settings) {
	i.memory.SetLimit(drain.RequestMemory(settings.MemoryBytes))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(drain.RuntimeMemory(settings.MemoryBytes))
	}
}
