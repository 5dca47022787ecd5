package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path"
	"strings"
	"time"

	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/gateway"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/drain"
)

// Defaults for limits and times that the configuration leaves unset.
const (
	DefaultMaxBodyBytes       = 8 << 20
	DefaultMaxPromptTokens    = 256 << 10
	DefaultFirstTokenDeadline = 10 * time.Second
	DefaultResponseTimeout    = 5 * time.Minute
)

const (
	chatPath       = "/v1/chat/completions"
	idempotencyKey = "Idempotency-Key"
	// maxIdempotencyKey is the maximum length of a key in bytes.
	maxIdempotencyKey = 255
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 30 * time.Second
)

func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // never fails (crypto/rand)
	return "req-" + hex.EncodeToString(raw[:])
}

// admit turns a call into a request or refuses it, before any other work is done.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request, id string, holding *gateway.Holding) (*request, *RequestError) {
	snapshot := e.settings.Snapshot()
	if snapshot == nil {
		return nil, refuse(http.StatusServiceUnavailable, ReasonNotReady, "this instance has no configuration yet")
	}
	workspace := authenticate(snapshot, r)
	if workspace == nil {
		return nil, refuse(http.StatusUnauthorized, ReasonUnauthorized, "unknown bearer token")
	}
	if wait, ok := e.limits.allow(workspace, e.settings.FleetSize()); !ok {
		reqErr := refuse(http.StatusTooManyRequests, ReasonRateLimit,
			"workspace %q exceeds %g requests per second", workspace.GetName(), workspace.GetRequestsPerSecond())
		reqErr.RetryAfter = wait
		return nil, reqErr
	}
	body, reqErr := readBody(w, r, snapshot, holding)
	if reqErr != nil {
		return nil, reqErr
	}
	if !drain.BeginWork(r.Context()) {
		return nil, refuse(http.StatusServiceUnavailable, ReasonCallerDisconnected, "the connection was closed before the request ran")
	}
	req := &request{id: id, arrived: time.Now(), workspace: workspace, body: body}
	if r.URL.Path == chatPath {
		return req, e.admitChat(snapshot, r, req)
	}
	return req, e.admitService(snapshot, r, req)
}

func authenticate(snapshot *config.Snapshot, r *http.Request) *pb.Workspace {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil
	}
	return snapshot.WorkspaceByToken(sha256.Sum256([]byte(token)))
}

// noMemory refuses a request for which there is no memory. Other instances may have some.
func noMemory() *RequestError {
	reqErr := refuse(http.StatusServiceUnavailable, ReasonNoMemory, "%v", gateway.ErrNoMemory)
	reqErr.RetryAfter = time.Second
	return reqErr
}

// readBody reads the body, until bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, holding *gateway.Holding) ([]byte, *RequestError) {
	limit := snapshot.Config().GetLimits().GetMaxBodyBytes()
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	controller := http.NewResponseController(w)
	if r.Body != http.NoBody {
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // a reader without deadlines does not wait for a network
	}
	body, err := holding.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, "the body exceeds %d bytes", limit)
	}
	if errors.Is(err, gateway.ErrNoMemory) {
		return nil, noMemory()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refuse(http.StatusRequestTimeout, ReasonBodyTimeout, "the body did not arrive in %v", bodyTimeout)
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, ReasonMalformed, "the body could not be read")
	}
	if r.Body != http.NoBody {
		// While the request runs, an expiry would look like the end of the connection.
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, nil
}

func (e *Entry) admitChat(snapshot *config.Snapshot, r *http.Request, req *request) *RequestError {
	if r.Method != http.MethodPost {
		return refuse(http.StatusMethodNotAllowed, ReasonMalformed, "chat completions need POST")
	}
	var fields chatFields
	if err := json.Unmarshal(req.body, &fields); err != nil {
		return refuse(http.StatusBadRequest, ReasonMalformed, "the body is not a chat completions call: %v", err)
	}
	if len(fields.Messages) == 0 || fields.MaxTokens < 0 {
		return refuse(http.StatusBadRequest, ReasonMalformed, "messages must not be empty and max_tokens not negative")
	}
	route := snapshot.RouteForModel(fields.Model)
	if reqErr := e.bindRoute(snapshot, req, route); reqErr != nil {
		return reqErr
	}
	prompt := fields.prompt()
	req.chat = newChatCall(&fields, prompt, route.GetExpectedOutputTokens())
	req.fingerprint = fingerprint(req.workspace.GetName(), route.GetName(), chatPath, req.body)
	return checkPrompt(snapshot, req.chat)
}

func checkPrompt(snapshot *config.Snapshot, chat *chatCall) *RequestError {
	limit := int(snapshot.Config().GetLimits().GetMaxPromptTokens())
	if limit == 0 {
		limit = DefaultMaxPromptTokens
	}
	if chat.promptTokens > limit {
		return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge,
			"the prompt has about %d tokens, the limit is %d", chat.promptTokens, limit)
	}
	return nil
}

func (e *Entry) admitService(snapshot *config.Snapshot, r *http.Request, req *request) *RequestError {
	if path.Clean(r.URL.Path) != strings.TrimSuffix(r.URL.Path, "/") && r.URL.Path != "/" {
		// The service might resolve dot segments to a path of another route.
		return refuse(http.StatusBadRequest, ReasonMalformed, "the path has empty or dot segments")
	}
	route := snapshot.RouteForPath(r.URL.Path)
	if reqErr := e.bindRoute(snapshot, req, route); reqErr != nil {
		return reqErr
	}
	req.method, req.path, req.header = r.Method, r.URL.RequestURI(), r.Header
	req.fingerprint = fingerprint(req.workspace.GetName(), route.GetName(), r.Method+" "+req.path, req.body)
	if !route.GetNonIdempotent() {
		return nil
	}
	req.key = r.Header.Get(idempotencyKey)
	if req.key == "" || len(req.key) > maxIdempotencyKey {
		return refuse(http.StatusBadRequest, ReasonKeyMissing,
			"route %q needs an %s header of at most %d bytes", route.GetName(), idempotencyKey, maxIdempotencyKey)
	}
	return nil
}

func (e *Entry) bindRoute(snapshot *config.Snapshot, req *request, route *pb.Route) *RequestError {
	if route == nil {
		return refuse(http.StatusNotFound, ReasonUnknownRoute, "no route serves this model or path")
	}
	if !snapshot.Allowed(route, req.workspace) {
		return refuse(http.StatusForbidden, ReasonForbidden,
			"workspace %q may not use route %q", req.workspace.GetName(), route.GetName())
	}
	req.route = route
	req.tier = snapshot.TierOf(route, req.workspace)
	req.shards = snapshot.Pool(route.GetPool()).GetShards()
	wait := DefaultFirstTokenDeadline
	if d := req.tier.GetFirstTokenDeadline(); d != nil {
		wait = d.AsDuration()
	}
	req.deadline = req.arrived.Add(wait)
	return nil
}
