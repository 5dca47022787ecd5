package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

// Times of a shutdown.
const (
	// balancerDelay is the time for which new connections arrive after SIGTERM: the balancer
	// probes once a second and removes an instance after two failures.
	balancerDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace time reserved for the process to exit.
	graceMargin = 700 * time.Millisecond
	// responseTime is the part of graceMargin for the responses to aborted requests.
	responseTime = 200 * time.Millisecond
)

// shutdown reports not ready to the balancer, serves the requests that still arrive,
// and waits for the requests in flight. The first server is the callers'.
func (i *Instance) shutdown(servers []server) {
	i.log.Info("shutting down")
	endBy := time.Now().Add(i.settings.Load().Grace - graceMargin)
	ctx, cancel := context.WithDeadline(context.Background(), endBy)
	defer cancel()
	last, cancelLast := context.WithDeadline(context.Background(), endBy.Add(responseTime))
	defer cancelLast()
	i.shuttingDown.Store(true)
	i.fleet.Leave()
	i.gateway.Drain()
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
	// A connection that was accepted may still carry a request, which http.Server.Shutdown
	// would read and drop. The gateway serves or refuses it instead.
	i.gateway.RefuseBeyond(endBy)
	if err := servers[0].listener.Close(); err != nil {
		i.log.Warn("callers' listener not closed", zap.Error(err))
	}
	if i.listeners.callers.CloseIdle(ctx) != nil {
		i.log.Warn("requests in flight aborted at shutdown timeout", zap.Int(field.Connections, i.listeners.callers.Open()))
		i.gateway.Abort()
		if err := i.listeners.callers.CloseIdle(last); err != nil {
			i.log.Warn("connections still open at exit", zap.Int(field.Connections, i.listeners.callers.Open()), zap.Error(err))
		}
	}
	// A handler may outlast its caller's connection.
	if err := i.gateway.Wait(last); err != nil {
		i.log.Warn("requests still in flight at exit", zap.Error(err))
	}
	i.unregister()
	i.log.Info("stopped")
}
