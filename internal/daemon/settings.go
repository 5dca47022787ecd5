// Package daemon assembles an instance that uses the project's own configuration. Package
// instance assembles an instance that serves the users' platform.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/basilloom/basilloom/peer"
)

// Settings are read from flags and BASILLOOM_ environment variables.
type Settings struct {
	Instance string `required:"" env:"BASILLOOM_INSTANCE" help:"Name of this instance, unique in the fleet."`
	Region   string `required:"" env:"BASILLOOM_REGION" help:"Region of this instance."`
	Zone     string `required:"" env:"BASILLOOM_ZONE" help:"Availability zone of this instance."`

	Callers   string `default:"127.0.0.1:7071" env:"BASILLOOM_CALLERS" help:"Address of the callers' listener (ip:port)."`
	Peers     string `default:"127.0.0.1:7072" env:"BASILLOOM_PEERS" help:"Address of the peers' listener (ip:port)."`
	Advertise string `env:"BASILLOOM_ADVERTISE" help:"Address that peers connect to; the peers' listener if empty."`
	Source    string `env:"BASILLOOM_SOURCE" help:"Local IP address of connections to peers and targets; chosen by the system if empty."`
	Operators string `default:"127.0.0.1:7073" env:"BASILLOOM_OPERATORS" help:"Address of the operators' listener (ip:port)."`
	PeerKey   string `required:"" env:"BASILLOOM_PEER_KEY" help:"Secret shared by all instances, at least 16 bytes. Set it in the environment."`

	TableEndpoint   string `required:"" env:"BASILLOOM_TABLE_ENDPOINT" help:"Base URL of the table service (DynamoDB protocol)."`
	TableName       string `default:"basilloom" env:"BASILLOOM_TABLE_NAME" help:"Table with partition key pk and sort key sk."`
	ObjectsEndpoint string `required:"" env:"BASILLOOM_OBJECTS_ENDPOINT" help:"Base URL of the object store (S3 protocol)."`
	ObjectsBucket   string `default:"basilloom" env:"BASILLOOM_OBJECTS_BUCKET" help:"Bucket of the object store."`
	PlatformRegion  string `default:"local" env:"BASILLOOM_PLATFORM_REGION" help:"Region name that platform calls are signed for."`
	AccessKey       string `default:"basilloom" env:"BASILLOOM_ACCESS_KEY" help:"Access key of the platform's services."`
	SecretKey       string `default:"basilloom" env:"BASILLOOM_SECRET_KEY" help:"Secret key of the platform's services. Set it in the environment."`
	InstancesURL    string `required:"" env:"BASILLOOM_INSTANCES_URL" help:"URL of the platform's list of instances (JSON)."`

	MemoryMB int64 `name:"memory-mb" default:"1024" env:"BASILLOOM_MEMORY_MB" help:"Memory of the process in MB, from which the limits of callers and requests are derived; 0 sets none."`
	MaxFDs   int   `name:"max-fds" default:"0" env:"BASILLOOM_MAX_FDS" help:"File descriptors of the process, from which the limit of callers is derived; 0 selects the system's limit."`

	ShutdownTimeout time.Duration `default:"5m" env:"BASILLOOM_SHUTDOWN_TIMEOUT" help:"Maximum time that a graceful shutdown waits for requests in flight."`
	LogLevel        string        `default:"info" enum:"debug,info,warn,error" env:"BASILLOOM_LOG_LEVEL" help:"Minimum log level."`
	TraceEndpoint   string        `env:"BASILLOOM_TRACE_ENDPOINT" help:"OTLP/HTTP URL that traces are sent to; no traces are sent if empty."`
	TraceRatio      float64       `default:"0.01" env:"BASILLOOM_TRACE_RATIO" help:"Fraction of requests that are traced, from 0 to 1."`
}

// Validate returns one error that lists all invalid settings.
func (s *Settings) Validate() error {
	var errs []error
	check := func(flag string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("--%s: %w", flag, err))
		}
	}
	check("callers", checkAddress(s.Callers))
	check("peers", checkAddress(s.Peers))
	check("operators", checkAddress(s.Operators))
	if s.Advertise != "" {
		check("advertise", checkAddress(s.Advertise))
	}
	if _, err := s.source(); err != nil {
		check("source", err)
	}
	if _, err := peer.NewKey(s.PeerKey); err != nil {
		check("peer-key", err)
	}
	check("table-endpoint", checkURL(s.TableEndpoint))
	check("objects-endpoint", checkURL(s.ObjectsEndpoint))
	check("instances-url", checkURL(s.InstancesURL))
	if s.TraceEndpoint != "" {
		check("trace-endpoint", checkURL(s.TraceEndpoint))
	}
	if s.TraceRatio < 0 || s.TraceRatio > 1 {
		check("trace-ratio", fmt.Errorf("%g is not between 0 and 1", s.TraceRatio))
	}
	if s.MemoryMB < 0 {
		check("memory-mb", errors.New("must not be negative"))
	}
	if s.MaxFDs < 0 {
		check("max-fds", errors.New("must not be negative"))
	}
	if s.ShutdownTimeout <= 0 {
		check("shutdown-timeout", errors.New("must be above 0"))
	}
	return errors.Join(errs...)
}

func (s *Settings) source() (netip.Addr, error) {
	if s.Source == "" {
		return netip.Addr{}, nil
	}
	address, err := netip.ParseAddr(s.Source)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("%q is not an IP address", s.Source)
	}
	return address, nil
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP address with a port", address)
	}
	return nil
}

func checkURL(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return fmt.Errorf("%q is not an http or https URL", text)
	}
	return nil
}
