// Package broker connects entries with the scheduler of a target group. The
// instance that owns a group runs its scheduler.Group (Manager); every entry
// keeps a stream of tickets to the owner (Client). A broker holds soft state
// only: entries resend their tickets when the owner changes.
package broker

import (
	"fmt"

	"github.com/basilloom/basilloom/scheduler"
)

// GroupKey identifies a target group by its pool and shard.
type GroupKey struct {
	Pool  string
	Shard int
}

func (k GroupKey) String() string { return fmt.Sprintf("%s/%d", k.Pool, k.Shard) }

// Peer is the name and address of an instance.
type Peer struct {
	Name    string
	Address string
}

// Resolver finds the instance that owns a group.
type Resolver interface {
	Owner(key GroupKey) (Peer, bool)
}

// RefusedError is the broker's refusal of a ticket: the request did not run.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter int64 // milliseconds
	// Forecast is the forecast wait if the ticket was refused because of it, in milliseconds.
	Forecast int64
}

func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// NotOwnerError reports that the instance does not own the group.
type NotOwnerError struct {
	Key   GroupKey
	Owner string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("group %s is owned by instance %q", e.Key, e.Owner)
}
