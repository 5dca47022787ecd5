package instance

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/worker"
)

// inTurn returns a script that gives each request to any worker the next behaviour, and
// the last one to all that follow.
func inTurn(behaviours ...worker.Behaviour) func(int, *http.Request) worker.Behaviour {
	turns := make(chan worker.Behaviour, len(behaviours))
	for _, b := range behaviours {
		turns <- b
	}
	return func(int, *http.Request) worker.Behaviour {
		if len(turns) > 1 {
			return <-turns
		}
		last := <-turns
		turns <- last
		return last
	}
}

// Guards against a refusal that a worker writes twice on a kept connection and that is
// taken for the response to a later request, which the worker runs.
func TestRepeatedRefusalIsNotTakenForAResponse(t *testing.T) {
	for repeated, status := range map[worker.Behaviour]int{worker.RepeatRefusal: 200, worker.RepeatAnonymousRefusal: 502} {
		t.Run(fmt.Sprint("fault ", repeated), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			a := env.worker("w-a", inTurn(worker.Serve, worker.Full, repeated, worker.Serve))
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			require.Equal(t, 200, n.call(t, http.MethodPost, "/unsafe/1", "x", nil).status)
			require.Equal(t, 503, n.call(t, http.MethodPost, "/unsafe/2", "x", nil).status)
			require.Equal(t, 1, executed(a), "the request that was refused has not run and is not sent to the same worker again")
			got := n.call(t, http.MethodPost, "/unsafe/3", "x", nil)
			require.Equal(t, status, got.status, "the worker has run the request")
			require.Equal(t, 2, executed(a))
			got = n.call(t, http.MethodPost, "/unsafe/4", "x", nil)
			require.Equal(t, 200, got.status)
			require.Equal(t, "POST /unsafe/4 x", got.body)
			require.Equal(t, 1, a.Opened()-boolToInt(repeated == worker.RepeatAnonymousRefusal))
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
