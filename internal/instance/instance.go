// Package instance assembles an instance that serves the users' platform: it reads the
// platform's settings file and store. Package daemon assembles an instance that uses the
// project's own configuration.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/fleet"
	"github.com/basilloom/basilloom/forward"
	"github.com/basilloom/basilloom/gateway"
	"github.com/basilloom/basilloom/internal/crashrows"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/rollout"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Limits and timing of an instance.
const (
	// idleTimeout is longer than the callers' own idle timeouts, so that the instance
	// does not close a connection while a request is in transit.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds a head whatever the configuration permits.
	maxHeaderBytes = 1 << 20
	// loadPeriod is the interval between updates of the peers' loads on the targets.
	loadPeriod = 100 * time.Millisecond
	// refreshPeriod is the interval between checks of the groups' owners.
	refreshPeriod = 500 * time.Millisecond
)

// Instance is one instance of the scheduler.
type Instance struct {
	settings atomic.Pointer[platform.Settings]
	log      *zap.Logger
	retries  *quota.RetryBudgets
	store    *platform.Store
	// operator mirrors the table of the operator's configuration and version orders,
	// registry the table of registered targets.
	operator *mirror.Table
	registry *mirror.Table
	// instances mirrors the rows of the instances. listed is set once they have been read.
	instances *mirror.Table
	listed    bool
	targets   *targetList
	pool      *forward.Pool
	ledger    *quota.Ledger
	gateway   *gateway.Gateway
	memory    *gateway.Memory
	placer    *gateway.Placer
	groups    *gateway.Groups
	fleet     *fleet.Fleet
	// shared runs the fleet-wide groups that this instance owns. local runs the groups
	// that this instance uses while no shared broker responds.
	shared, local *broker.Manager
	peers         *peer.Pool
	peerServer    *http.Server
	crashes       *crashes
	crashRows     *crashrows.Table
	tracker       *rollout.Tracker
	orderStatus   orderStatus
	registered    atomic.Bool // this instance's row has been written
	// rowsFailedAt is when the store last did not take changes of peers' rows.
	rowsFailedAt atomic.Pointer[time.Time]
	evacuations  evacuations
	delays       linkDelays
	// orderWaitLogged is when the last line on what a version order waits for was logged.
	orderWaitLogged time.Time
	status          storage.Table // holds the status of version orders
	metrics         *telemetry.Metrics
	shuttingDown    atomic.Bool
	listeners       listeners
	spending        spendingReports
	// incarnation distinguishes this start of the instance from earlier ones.
	incarnation uint64

	// runCtx is the context of all background work; stop cancels it.
	runCtx context.Context
	stop   context.CancelFunc
}

// New assembles an instance; Run starts it. droppedLines returns the number of lines
// that the log has dropped.
func New(settings platform.Settings, log *zap.Logger, droppedLines func() int64) (*Instance, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	requests, err := gateway.NewMetrics(metrics.Meter)
	if err != nil {
		return nil, fmt.Errorf("request metrics: %w", err)
	}
	i := &Instance{
		log: log, metrics: metrics,
		store: platform.NewStore(settings.Store), pool: forward.NewPool(), ledger: quota.NewLedger(settings.Quota),
		memory:      &gateway.Memory{},
		incarnation: uint64(time.Now().UnixNano()),
	}
	i.settings.Store(&settings)
	i.retries = quota.NewRetryBudgets(settings.RetryRatio*retryShare, retryReserve(settings))
	i.runCtx, i.stop = context.WithCancel(context.Background())
	i.operator = mirror.NewTable(platform.TableOperator, i.store, log)
	i.registry = mirror.NewTable(platform.TableTargets, i.store, log)
	i.instances = mirror.NewTable(tableInstances, i.store, log)
	i.targets = newTargetList(log)
	i.crashes = newCrashes()
	i.crashRows = crashrows.New(crashrows.Settings{
		Store: i.store, Instances: func() int { return i.fleet.Size() }, Log: log,
		OnRead: func(entries []scheduler.CrashEvidence) { i.applyCrashes(entries, fromStore) },
	})
	i.groups = &gateway.Groups{Links: zoneLinks(settings.Regions), Overload: settings.Overload,
		Spill: scheduler.SpillConfig{MinDelay: settings.SpillMinDelay, Regions: settings.Regions},
	}
	i.groups.SetRegions(settings.Regions)
	if settings.Places {
		i.groups.Cold = gateway.NewColdTargets(settings.ColdOverage, settings.ColdSlack)
		i.targets.cold = i.groups.Cold
		i.evacuations.onEnd = func(zone string) { i.groups.Cold.SuspectZone(time.Now(), zone) }
	}
	i.tracker = rollout.NewTracker(i.groups.Versions)
	i.status = i.store.Table(platform.TableStatus)
	i.placer = &gateway.Placer{
		Groups: i.groups, Log: log, Sharing: gateway.Sharing{From: settings.PlainSharedFrom, Log: log},
	}
	i.gateway = gateway.New(gateway.Settings{
		HeaderCodec: platform.HeaderCodec{}, Pool: i.pool, Placer: i.placer, Ledger: i.ledger, Memory: i.memory,
		RetryBudgets: i.retries, Rollouts: i.tracker, OnBegun: i.partsBegun, Metrics: requests, Log: log,
	})
	key, err := peer.NewKey(peerToken)
	if err != nil {
		return nil, err
	}
	i.fleet, err = fleet.New(fleet.Settings{
		Self: settings.Instance, Incarnation: i.incarnation, Zone: settings.Zone, Address: settings.Peers, Seeds: settings.Seeds,
		MilliCores: settings.MilliCores, Grace: settings.Grace, Tables: []*mirror.Table{i.operator, i.registry, i.instances}, FillReport: i.fillReport, OnReport: i.applyReport,
		Authorize: key.Authorize, Instances: i.instances, LatestStoreTime: i.store.LatestNow,
		FillCopy: i.fillCopy, OnCopy: i.applyCopy, Log: log,
	})
	if err != nil {
		return nil, err
	}
	i.assembleBrokers(key)
	return i, i.registerMetrics(droppedLines)
}

// retryShare is the fraction of the configured retry ratio that each request adds to
// the budget. The rest is a margin for windows in which retries spend budget that
// an earlier burst of requests added.
const retryShare = 0.8

// assumedFleetSize divides the fleet's retry reserve between the instances.
const assumedFleetSize = 12

func retryReserve(settings platform.Settings) float64 {
	return max(1, settings.RetryReserve/assumedFleetSize)
}

// Run serves until ctx ends, then shuts down gracefully.
// It reloads the settings file when the file changes or reload receives a signal.
func (i *Instance) Run(ctx context.Context, file platform.SettingsFile, reload <-chan os.Signal) error {
	settings := i.settings.Load()
	i.setMemoryLimits(*settings)
	i.applyCallerLimits()
	i.memory.SetReclaim(i.listeners.callers.Evict)
	servers, err := i.listen()
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	failed := make(chan error, len(servers))
	for _, s := range servers {
		running.Go(func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
			}
		})
	}
	i.listeners.run(i.runCtx, &running, i.log)
	running.Go(func() { i.operator.Run(i.runCtx) })
	running.Go(func() { i.registry.Run(i.runCtx) })
	running.Go(func() { i.instances.Run(i.runCtx) })
	running.Go(func() { i.crashRows.Run(i.runCtx) })
	running.Go(func() { i.reconcileCrashes(i.runCtx) })
	running.Go(func() { i.watchTables(i.runCtx) })
	running.Go(func() { i.fleet.Run(i.runCtx) })
	running.Go(func() { i.register(i.runCtx) })
	running.Go(func() { i.maintainRows(i.runCtx) })
	running.Go(func() { i.runRollouts(i.runCtx) })
	running.Go(func() { i.watchSettings(i.runCtx, file, reload) })
	i.log.Info("instance started", zap.String(field.Callers, settings.Callers), zap.String(field.Store, settings.Store),
		zap.Uint64(field.Incarnation, i.incarnation))
	select {
	case <-ctx.Done():
		i.shutdown(servers)
	case err = <-failed:
	}
	i.stop()
	for _, s := range servers {
		_ = s.server.Close() // the process exits anyway
	}
	running.Wait()
	i.placer.Shared.Wait()
	i.placer.Local.Wait()
	i.shared.Wait()
	i.local.Wait()
	i.pool.Close()
	i.peers.Close()
	return err
}

type server struct {
	server   *http.Server
	listener net.Listener
}

// serveReady reports to the balancer whether this instance accepts callers.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if i.shuttingDown.Load() || i.gateway.Table() == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// watchTables applies changes of the configuration, the registry and the peers' loads.
func (i *Instance) watchTables(ctx context.Context) {
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	var refreshed time.Time
	crashesKnown := i.crashRows.Ready()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.operator.Changed():
			i.applyConfig()
		case <-crashesKnown:
			crashesKnown = nil
			if i.operator.Current() != nil {
				i.applyConfig()
			}
		case <-i.registry.Changed():
			i.applyTargets()
		case <-i.instances.Changed():
			i.applyRows()
		case now := <-ticker.C:
			i.pool.Prune(now)
			i.applyTargets()
			i.updateLoads(now)
			i.updateDelays(now)
			if now.Sub(refreshed) >= refreshPeriod {
				i.shared.Refresh()
				i.placer.Sharing.Update(i.groups, i.fleet.Size())
				refreshed = now
			}
		}
	}
}
