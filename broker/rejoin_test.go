package broker

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Guards against a ticket that is forgotten because its grant was lost with a
// stream that the entry replaced before the broker noticed its end. The entry
// would wait until the deadline and then refuse the request.
func TestGrantLostWithStreamIsGivenAgain(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		hello := &pb.Hello{Instance: "entry", Incarnation: 1, Pool: testKey.Pool}
		ticket := &pb.Ticket{Id: 1, Workspace: "w", DeadlineMs: time.Minute.Milliseconds()}
		for range 2 {
			session, err := f.managers["a"].Join(hello)
			require.NoError(t, err)
			require.NoError(t, session.Send(&pb.TicketsRequest{Submit: []*pb.Ticket{ticket}}))
			time.Sleep(time.Second)
			require.Len(t, session.out, 1)
			require.Len(t, (<-session.out).GetGrant(), 1)
		}
	})
}
