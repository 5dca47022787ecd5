package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/telemetry/field"
)

// listeners holds the connections of each listener.
type listeners struct {
	callers, ready, metrics, peers drain.Conns
}

func (l *listeners) byName() map[string]*drain.Conns {
	return map[string]*drain.Conns{"callers": &l.callers, "ready": &l.ready, "metrics": &l.metrics, "peers": &l.peers}
}

// run closes connections at the limits of their listeners until ctx ends.
func (l *listeners) run(ctx context.Context, running *sync.WaitGroup, log *zap.Logger) {
	for name, conns := range l.byName() {
		running.Go(func() { conns.Run(ctx, name, log) })
	}
}

// setLimits applies the limits of the settings and the configuration in force.
func (l *listeners) setLimits(rules drain.CallerRules, maxFiles int, memory int64, budget drain.Budget) {
	l.callers.SetLimits(drain.CallerLimits(rules, maxFiles, memory, budget))
	l.ready.SetLimits(drain.ControlLimits())
	l.metrics.SetLimits(drain.ControlLimits())
	l.peers.SetLimits(peer.ConnLimits)
}

// applyCallerLimits applies the limits of the settings and the configuration in force.
func (i *Instance) applyCallerLimits() {
	var rules drain.CallerRules
	if table := i.gateway.Table(); table != nil {
		limits := table.Config().Limits
		rules = drain.CallerRules{HeadBytes: limits.MaxHeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
	}
	settings := i.settings.Load()
	i.listeners.setLimits(rules, settings.MaxFiles, settings.MemoryBytes, i.memory)
}

func (i *Instance) listen() ([]server, error) {
	settings := i.settings.Load()
	// The limits of the callers' connections enforce lower values, which can change.
	callers := &http.Server{Handler: i.gateway, ReadHeaderTimeout: idleTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	var servers []server
	for _, l := range []struct {
		address string
		server  *http.Server
		conns   *drain.Conns
	}{
		{settings.Callers, callers, &i.listeners.callers},
		{settings.Ready, controlServer(http.HandlerFunc(i.serveReady)), &i.listeners.ready},
		{settings.Metrics, controlServer(i.metrics.Handler), &i.listeners.metrics},
		{settings.Peers, i.peerServer, &i.listeners.peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil && l.address == settings.Metrics {
			// Callers can be served without metrics.
			i.log.Error("metrics listener not started", zap.String(field.Address, l.address), zap.Error(err))
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		l.server.ErrorLog = zap.NewStdLog(i.log.Named("http"))
		l.server.ConnState, l.server.ConnContext = l.conns.Observe, l.conns.Context
		servers = append(servers, server{listener: l.conns.Listener(listener), server: l.server})
	}
	return servers, nil
}

// controlServer returns a server for health checks or metrics.
func controlServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: drain.ControlTimeout, WriteTimeout: drain.ControlTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: drain.MaxControlHeadBytes,
	}
}

// connectionInstruments are the metrics of the listeners' connections.
type connectionInstruments struct {
	open, bytes metric.Int64ObservableGauge
	closed      metric.Int64ObservableCounter
}

func (i *Instance) observeConnections(o metric.Observer, m *connectionInstruments) {
	o.ObserveInt64(m.bytes, i.memory.Connections())
	for name, conns := range i.listeners.byName() {
		o.ObserveInt64(m.open, int64(conns.Open()), metric.WithAttributes(attribute.String("listener", name)))
		for cause, n := range conns.Closed() {
			o.ObserveInt64(m.closed, n, metric.WithAttributes(attribute.String("listener", name), attribute.String("cause", string(cause))))
		}
	}
}
