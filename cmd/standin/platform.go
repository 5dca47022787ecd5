package main

import (
	"context"
	"time"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/instances"
	"github.com/basilloom/basilloom/internal/standin/objects"
	"github.com/basilloom/basilloom/internal/standin/table"
)

type tableCommand struct {
	listenFlags
	Name string `help:"Name of the table." default:"basilloom"`
}

// Run serves until ctx ends.
func (c *tableCommand) Run(ctx context.Context, out output) error {
	return serve(ctx, out, "table", c.listenFlags, table.New(c.Name, fault.Settings{}))
}

type objectsCommand struct {
	listenFlags
	Bucket string `help:"Name of the bucket." default:"basilloom"`
}

// Run serves until ctx ends.
func (c *objectsCommand) Run(ctx context.Context, out output) error {
	return serve(ctx, out, "objects", c.listenFlags, objects.New(c.Bucket, fault.Settings{}))
}

type instancesCommand struct {
	listenFlags
	Lag time.Duration `help:"Age of the list." default:"2s"`
}

// Run serves until ctx ends.
func (c *instancesCommand) Run(ctx context.Context, out output) error {
	return serve(ctx, out, "instances", c.listenFlags, instances.New(c.Lag, fault.Settings{}))
}
