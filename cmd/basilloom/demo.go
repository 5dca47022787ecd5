package main

import "github.com/basilloom/basilloom/internal/demo"

type demoCmd struct{}

// Run runs a complete deployment in this process.
func (c *demoCmd) Run(e *env) error { return demo.Run(e.ctx, e.stdout) }
