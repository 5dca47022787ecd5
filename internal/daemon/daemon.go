package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/entry"
	"github.com/basilloom/basilloom/gateway"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/storage"
	"github.com/basilloom/basilloom/telemetry"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Limits and timing of an instance.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// serverHeaderBytes bounds a head at the server. The limits of the callers' connections
	// enforce a lower value.
	serverHeaderBytes = 1 << 20
	leaveTimeout      = 2 * time.Second
	// refreshPeriod is the interval between updates of the groups if nothing changes.
	refreshPeriod = 250 * time.Millisecond
)

// Platform holds the platform's services that an instance uses.
type Platform struct {
	Table storage.Table
	// Leases is the same table with a rate limit and a retry budget of its own.
	Leases  storage.Table
	Objects storage.ObjectStore
	List    storage.InstanceList
	// Stats returns the counters of the table's calls; it may be nil.
	Stats func() storage.Stats
}

// NewPlatform connects to the platform's services that the settings name.
func NewPlatform(s Settings) Platform {
	service := func(endpoint string) storage.ServiceSettings {
		return storage.ServiceSettings{
			Endpoint: endpoint, Region: s.PlatformRegion, AccessKey: s.AccessKey, SecretKey: s.SecretKey,
		}
	}
	dynamo := storage.NewDynamoDB(service(s.TableEndpoint), s.TableName)
	table := storage.NewRetrying(dynamo, storage.RetrySettings{})
	return Platform{
		Table:   table,
		Leases:  storage.NewRetrying(dynamo, storage.RetrySettings{}),
		Stats:   table.Stats,
		Objects: storage.NewS3(service(s.ObjectsEndpoint), s.ObjectsBucket),
		List:    storage.NewHTTPInstanceList(s.InstancesURL),
	}
}

// Daemon is one instance.
type Daemon struct {
	settings Settings
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// storeStats returns the counters of the table's calls; it is nil if the platform
	// does not count them.
	storeStats func() storage.Stats
	platform   Platform
	leases     *lease.Manager

	self    membership.Instance
	members *membership.Exchanger
	watcher *config.Watcher
	leaving *leavingTargets
	tracker *moves.Tracker
	groups  *groups
	brokers *broker.Manager
	tickets *broker.Client
	engine  *engine.Client
	entry   *entry.Entry
	peers   *peer.Pool

	callers      listener
	callerConns  drain.Conns
	peerConns    drain.Conns
	controlConns drain.Conns
	memory       gateway.Memory
	peerListener listener
	operators    listener

	wasReady     atomic.Bool
	shuttingDown atomic.Bool

	// runCtx is cancelled by stop, after the callers' listener is closed, so that
	// requests in flight can end.
	runCtx context.Context
	stop   context.CancelFunc
}

type listener struct {
	net.Listener
	server *http.Server
}

// New binds the listeners and assembles the instance; Run starts it.
func New(settings Settings, p Platform, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log.With(zap.String(field.Instance, settings.Instance)), leaving: &leavingTargets{}}
	if err := d.listen(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d.metrics = metrics
	key, err := peer.NewKey(settings.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("peer key: %w", err)
	}
	trace, err := otelconnect.NewInterceptor(otelconnect.WithoutMetrics())
	if err != nil {
		return nil, fmt.Errorf("trace interceptor: %w", err)
	}
	source, err := settings.source()
	if err != nil {
		return nil, fmt.Errorf("source address: %w", err)
	}
	d.runCtx, d.stop = context.WithCancel(context.Background())
	d.peers = peer.NewPoolFrom(source, key, trace)
	d.engine = engine.NewClientFrom(source)
	d.assembleControlPlane(p)
	if err := d.assembleEntry(p); err != nil {
		return nil, err
	}
	if p.Leases == nil {
		p.Leases = p.Table
	}
	d.storeStats = p.Stats
	d.platform = p
	// Leases use a separate rate limit and retry budget, so that many claims do not
	// delay a lease renewal.
	d.leases = lease.NewManager(p.Leases, lease.Settings{Holder: d.self.Name, Incarnation: d.self.Incarnation})
	if err := d.registerGauges(d.metrics.Meter); err != nil {
		return nil, err
	}
	d.serveHandlers(key, trace, p)
	return d, nil
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		bind    *listener
		address string
	}{
		{&d.callers, d.settings.Callers},
		{&d.peerListener, d.settings.Peers},
		{&d.operators, d.settings.Operators},
	} {
		bound, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		l.bind.Listener = bound
	}
	return nil
}

func (d *Daemon) assembleControlPlane(p Platform) {
	advertise := d.settings.Advertise
	if advertise == "" {
		advertise = d.peerListener.Addr().String()
	}
	d.self = membership.Instance{
		Name:        d.settings.Instance,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     advertise,
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
	}
	d.members = membership.New(membership.Options{
		Self:      d.self,
		Transport: d.peers,
		List:      p.List,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:    d.log,
	})
	d.watcher = config.NewWatcher(config.WatcherOptions{
		Store:     config.NewStore(p.Table, p.Objects, time.Now),
		Peers:     &configPeers{self: d.self.Name, pool: d.peers, members: d.members},
		FleetSize: d.FleetSize,
		Logger:    d.log,
	})
	d.tracker = d.newTracker()
	d.groups = &groups{
		snapshot: d.watcher.Current,
		members:  d.members,
		leaving:  d.leaving,
		engine:   d.engine,
	}
	hooks := broker.Hooks{
		RequestFloor: floorClient{pool: d.peers, groups: d.groups}.requestFloor,
		OnQuarantine: d.publishQuarantine,
	}
	d.brokers = broker.NewManager(d.runCtx, d.self.Name, d.groups, d.groups, d.groups, hooks, d.log)
	d.tickets = broker.NewClient(d.runCtx, broker.ClientSettings{
		Self:        d.self.Name,
		Incarnation: d.self.Incarnation,
		Region:      d.self.Region,
		Resolver:    d.groups,
		Opener:      broker.ConnectOpener(d.peers.Client),
		Local:       d.brokers,
		OnOwnerFailure: func(owner broker.Peer) {
			d.members.ReportFailure(owner.Name)
			d.peers.Renew(owner.Address)
		},
		Log: d.log,
	})
}

func (d *Daemon) assembleEntry(p Platform) error {
	metrics, err := entry.NewMetrics(d.metrics.Meter)
	if err != nil {
		return err
	}
	d.entry = entry.New(entry.Settings{
		Snapshot:  d.watcher.Current,
		FleetSize: d.FleetSize,
		Tickets:   d.tickets,
		Engine:    d.engine,
		Versions:  routeVersions{d.tracker},
		Targets:   d.leaving,
		Claims:    claims.NewStore(p.Table, d.self.Name),
		Memory:    &d.memory,
		Metrics:   metrics,
		Log:       d.log,
	})
	return nil
}

func (d *Daemon) serveHandlers(key peer.Key, trace connect.Interceptor, p Platform) {
	d.callers.server = &http.Server{
		Handler:           otelhttp.NewHandler(d.entry, "caller"),
		ReadHeaderTimeout: idleTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		ErrorLog:          zap.NewStdLog(d.log),
	}
	d.peerListener.server = peer.NewServer(peer.Handler(key, &peerService{
		members: d.members, brokers: d.brokers, watcher: d.watcher,
	}, trace))
	d.operators.server = &http.Server{
		Handler:      drain.Working(d.operatorMux(p)),
		ReadTimeout:  drain.ControlTimeout,
		WriteTimeout: drain.ControlTimeout,
		IdleTimeout:  idleTimeout, MaxHeaderBytes: drain.MaxControlHeadBytes,
	}
	d.limitConnections()
}

// limitConnections applies the limits of the listeners' connections.
func (d *Daemon) limitConnections() {
	memory := d.settings.MemoryMB << 20
	d.memory.SetLimit(drain.RequestMemory(memory))
	d.memory.SetReclaim(d.callerConns.Evict)
	if memory > 0 {
		debug.SetMemoryLimit(drain.RuntimeMemory(memory))
	}
	rules := drain.CallerRules{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.callerConns.SetLimits(drain.CallerLimits(rules, d.settings.MaxFDs, memory, &d.memory))
	d.peerConns.SetLimits(peer.ConnLimits)
	d.controlConns.SetLimits(drain.ControlLimits())
	for _, l := range []struct {
		listener *listener
		conns    *drain.Conns
	}{{&d.callers, &d.callerConns}, {&d.peerListener, &d.peerConns}, {&d.operators, &d.controlConns}} {
		l.listener.Listener = l.conns.Listener(l.listener.Listener)
		l.listener.server.ConnState, l.listener.server.ConnContext = l.conns.Observe, l.conns.Context
	}
}

func (d *Daemon) operatorMux(p Platform) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(basilloomv1connect.NewOperatorServiceHandler(&operatorService{
		self:    d.self.Name,
		store:   config.NewStore(p.Table, p.Objects, time.Now),
		watcher: d.watcher,
		brokers: d.brokers,
		table:   p.Table,
		tracker: d.tracker,
	}))
	mux.Handle("GET /metrics", d.metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	return mux
}

// serveReady reports ready once the newest configuration has been in force, and stays
// ready if a later one cannot be fetched: otherwise one change could remove the entire
// fleet from the balancer.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.watcher.Ready() {
		d.wasReady.Store(true)
	}
	if !d.wasReady.Load() || d.shuttingDown.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// conns returns the connections of the listeners by name.
func (d *Daemon) conns() map[string]*drain.Conns {
	return map[string]*drain.Conns{"callers": &d.callerConns, "peers": &d.peerConns, "operators": &d.controlConns}
}

// Addresses returns the bound addresses of the callers', peers' and operators' listeners.
func (d *Daemon) Addresses() (callers, peers, operators string) {
	return d.callers.Addr().String(), d.peerListener.Addr().String(), d.operators.Addr().String()
}

// TraceDecisions calls onDecision for every decision of the groups that this instance
// runs. It must be called before Run.
func (d *Daemon) TraceDecisions(onDecision func(broker.TracedDecision)) {
	d.brokers.TraceDecisions(onDecision)
}

// FleetSize returns the number of live instances in this instance's view.
func (d *Daemon) FleetSize() int { return len(d.members.Live()) }

// Run serves until ctx ends, then shuts down gracefully: it leaves the
// membership, ends the requests in flight and stops.
func (d *Daemon) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	var running sync.WaitGroup
	for name, conns := range d.conns() {
		running.Go(func() { conns.Run(control, name, d.log) })
	}
	running.Go(func() { d.members.Run(control) })
	running.Go(func() { _ = d.watcher.Run(control) }) // returns only its context's error
	running.Go(func() { d.watch(control) })
	running.Go(func() { d.trackMoves(control) })
	running.Go(func() { d.runController(control, d.platform, d.leases) })
	failed := make(chan error, 3)
	for _, l := range []listener{d.operators, d.peerListener, d.callers} {
		running.Go(func() { serve(l, failed) })
	}
	d.log.Info("instance started", zap.String(field.Callers, d.callers.Addr().String()),
		zap.String(field.Peers, d.peerListener.Addr().String()), zap.String(field.Operators, d.operators.Addr().String()))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	d.shutdown()
	stopControl()
	running.Wait()
	d.peers.Close()
	d.engine.Close()
	return err
}

func serve(l listener, failed chan<- error) {
	if err := l.server.Serve(l.Listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		failed <- err
	}
}

// watch applies changes of the configuration, the membership and the shared facts.
func (d *Daemon) watch(ctx context.Context) {
	snapshots, unsubscribe := d.watcher.Subscribe()
	defer unsubscribe()
	changes := d.members.Subscribe()
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-snapshots:
			d.tracker.SetMoves(snapshot.Generation(), snapshot.Config().GetMoves())
			d.members.SetGeneration(snapshot.Generation(), snapshot.Hash())
			d.publishLeaving(snapshot)
		case update := <-changes.Generation:
			_ = d.watcher.ObserveGeneration(update.Generation, update.Hash) // the watcher logs a conflict
			continue
		case <-changes.Facts:
		case <-changes.View:
		case <-ticker.C:
		}
		d.refresh()
	}
}

func (d *Daemon) refresh() {
	var generation int64
	if snapshot := d.watcher.Current(); snapshot != nil {
		generation = snapshot.Generation()
	}
	facts := d.members.Facts()
	d.leaving.update(facts.Leaving, generation)
	d.applyMoveFacts(facts)
	d.brokers.SetQuarantined(quarantineEntries(facts.Quarantine, time.Now()))
	d.brokers.Refresh()
}

// publishLeaving publishes as facts the targets that a new configuration marks as leaving
// and the targets that have reported that they are leaving. Facts also reach peers that
// cannot fetch the configuration yet.
func (d *Daemon) publishLeaving(snapshot *config.Snapshot) {
	for _, t := range snapshot.Config().GetTargets() {
		if t.GetLeaving() {
			d.members.AddLeaving(membership.Leaving{Target: t.GetName(), Generation: snapshot.Generation()})
		}
	}
	for _, target := range d.leaving.reportedTargets() {
		if snapshot.Target(target) != nil {
			d.members.AddLeaving(membership.Leaving{Target: target, Generation: snapshot.Generation()})
		}
	}
}

func (d *Daemon) publishQuarantine(entries []scheduler.CrashEvidence) {
	now := time.Now()
	for _, e := range entries {
		if e.Served {
			continue // the facts that instances exchange only grow
		}
		d.members.AddQuarantine(membership.Quarantine{
			Fingerprint: e.Fingerprint, Expires: now.Add(e.ValidFor), CrashedTargets: e.CrashedTargets,
		})
	}
}

func quarantineEntries(records []membership.Quarantine, now time.Time) []scheduler.CrashEvidence {
	entries := make([]scheduler.CrashEvidence, 0, len(records))
	for _, q := range records {
		entries = append(entries, scheduler.CrashEvidence{
			Fingerprint: q.Fingerprint, ValidFor: q.Expires.Sub(now), CrashedTargets: q.CrashedTargets,
		})
	}
	return entries
}

// shutdown first transfers the broker role to other instances, so that waiting tickets
// move to the successors while this instance still serves its own callers.
func (d *Daemon) shutdown() {
	d.log.Info("shutting down")
	d.shuttingDown.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	d.members.Leave(leave)
	cancelLeave()
	d.brokers.Refresh()
	if err := d.entry.Drain(ctx); err != nil {
		d.log.Error("requests in flight aborted at shutdown timeout", zap.Error(err))
	}
	if err := errors.Join(d.callers.Close(), d.callerConns.CloseIdle(ctx)); err != nil {
		d.log.Warn("callers' connections still open at shutdown timeout", zap.Error(err))
	}
	for _, l := range []listener{d.callers, d.operators} {
		if err := l.server.Shutdown(ctx); err != nil {
			_ = l.server.Close()
		}
	}
	d.stop()
	d.tickets.Wait()
	d.brokers.Wait()
	_ = d.peerListener.server.Close() // ticket streams of other entries reconnect to the successor
	if err := d.metrics.Close(ctx); err != nil {
		d.log.Warn("metrics not closed", zap.Error(err))
	}
	d.log.Info("stopped")
}
