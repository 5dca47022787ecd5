// Package embedded runs a fleet of instances with stand-ins of the platform in
// one process on free loopback ports.
package embedded

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/daemon"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/httpserver"
	"github.com/basilloom/basilloom/internal/standin/instances"
	"github.com/basilloom/basilloom/internal/standin/objects"
	"github.com/basilloom/basilloom/internal/standin/table"
	"github.com/basilloom/basilloom/storage"
)

// Loopback is a listen address that selects a free loopback port.
const Loopback = "127.0.0.1:0"

const (
	peerKey         = "embedded-shared-key-0123456789"
	listLag         = 200 * time.Millisecond
	readyTimeout    = 20 * time.Second
	readyPeriod     = 50 * time.Millisecond
	shutdownTimeout = 10 * time.Second
)

// Place is the name and location of an instance.
type Place struct {
	Name   string
	Region string
	Zone   string
}

// Fleet is a running set of instances.
type Fleet struct {
	Daemons []*daemon.Daemon

	servers []*httpserver.Server
	stop    context.CancelFunc
	running sync.WaitGroup
}

// Start applies the configuration, starts the instances and waits until all
// are ready. prepare, if not nil, is called with each instance before it runs.
func Start(ctx context.Context, places []Place, configuration *pb.Config, log *zap.Logger, prepare func(*daemon.Daemon)) (*Fleet, error) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{stop: stop}
	if err := f.start(runCtx, places, configuration, log, prepare); err != nil {
		f.Close()
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.waitReady(readyCtx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, places []Place, configuration *pb.Config, log *zap.Logger, prepare func(*daemon.Daemon)) error {
	list := instances.New(listLag, fault.Settings{})
	settings, err := f.startPlatform(list)
	if err != nil {
		return err
	}
	services := daemon.NewPlatform(settings)
	store := config.NewStore(services.Table, services.Objects, time.Now)
	if _, err := store.Apply(ctx, configuration, "embedded", "embedded", 0); err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	var records []storage.InstanceRecord
	for _, place := range places {
		settings.Instance, settings.Region, settings.Zone = place.Name, place.Region, place.Zone
		d, err := daemon.New(settings, daemon.NewPlatform(settings), log)
		if err != nil {
			return fmt.Errorf("start instance %s: %w", place.Name, err)
		}
		if prepare != nil {
			prepare(d)
		}
		f.Daemons = append(f.Daemons, d)
		_, peers, _ := d.Addresses()
		records = append(records, storage.InstanceRecord{
			Name: place.Name, Address: peers, Region: place.Region, Zone: place.Zone,
		})
	}
	list.Set(records)
	for _, d := range f.Daemons {
		f.running.Go(func() { _ = d.Run(ctx) }) // a listener error surfaces as an instance that is not ready
	}
	return nil
}

// startPlatform starts the stand-ins of the platform and returns settings that use them.
func (f *Fleet) startPlatform(list http.Handler) (daemon.Settings, error) {
	s := daemon.Settings{
		Callers: Loopback, Peers: Loopback, Operators: Loopback, PeerKey: peerKey,
		TableName: "basilloom", ObjectsBucket: "basilloom", PlatformRegion: "local",
		AccessKey: "basilloom", SecretKey: "basilloom", ShutdownTimeout: shutdownTimeout,
	}
	for _, service := range []struct {
		url     *string
		handler http.Handler
	}{
		{&s.TableEndpoint, table.New(s.TableName, fault.Settings{})},
		{&s.ObjectsEndpoint, objects.New(s.ObjectsBucket, fault.Settings{})},
		{&s.InstancesURL, list},
	} {
		server := httpserver.New(Loopback, service.handler)
		if err := server.Start(); err != nil {
			return s, fmt.Errorf("start platform stand-in: %w", err)
		}
		f.servers = append(f.servers, server)
		*service.url = "http://" + server.Address()
	}
	s.InstancesURL += "/instances"
	return s, nil
}

// waitReady waits until all instances are ready and are members of each other's view.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		_, _, operators := d.Addresses()
		for !isReady(ctx, "http://"+operators+"/readyz") || d.FleetSize() < len(f.Daemons) {
			select {
			case <-ctx.Done():
				return errors.New("instances not ready before the timeout")
			case <-time.After(readyPeriod):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Callers returns the URLs of the callers' listeners.
func (f *Fleet) Callers() []string {
	var urls []string
	for _, d := range f.Daemons {
		callers, _, _ := d.Addresses()
		urls = append(urls, "http://"+callers)
	}
	return urls
}

// Operators returns the URL of the first instance's operators' listener.
func (f *Fleet) Operators() string {
	_, _, operators := f.Daemons[0].Addresses()
	return "http://" + operators
}

// Close shuts the instances down gracefully and stops the stand-ins.
func (f *Fleet) Close() {
	f.stop()
	f.running.Wait()
	for _, s := range f.servers {
		s.Abort()
	}
}
