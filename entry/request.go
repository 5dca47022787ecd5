package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/prefix"
)

// request is an admitted call.
type request struct {
	id          string
	arrived     time.Time
	deadline    time.Time
	workspace   *pb.Workspace
	route       *pb.Route
	tier        *pb.Tier
	shards      int32
	body        []byte
	fingerprint uint64
	// version is the target version of the current attempt.
	version string
	// avoid lists the targets that were unreachable or leaving.
	avoid []string

	// chat is nil for a plain service call.
	chat *chatCall

	// The fields below are set for a plain service call only. key is the caller's
	// idempotency key, empty for an idempotent route.
	method string
	path   string
	header http.Header
	key    string
}

// chatCall holds the properties of a chat completions call that scheduling uses.
type chatCall struct {
	stream       bool
	promptTokens int
	outputTokens int
	prefix       []uint64
}

// chatFields are the fields of a chat completions call that the entry reads. The
// body itself is passed on unchanged.
type chatFields struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. Its JSON form is a string or a list of parts,
// some of which have a text.
type chatContent string

func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	*c = chatContent(strings.Join(texts, "\n"))
	return nil
}

// prompt joins the contents of all messages in the form that the engine hashes.
func (f *chatFields) prompt() []byte {
	contents := make([]string, 0, len(f.Messages))
	for _, m := range f.Messages {
		contents = append(contents, string(m.Content))
	}
	return []byte(strings.Join(contents, "\n"))
}

func newChatCall(f *chatFields, prompt []byte, expectedTokens int32) *chatCall {
	output := f.MaxTokens
	if output == 0 {
		output = int(expectedTokens)
	}
	return &chatCall{
		stream:       f.Stream,
		promptTokens: prefix.Tokens(len(prompt)),
		outputTokens: output,
		prefix:       prefix.Sample(prefix.Blocks(prompt)),
	}
}

// fingerprint returns a hash that identifies a request when its caller retries it.
func fingerprint(workspace, route, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, route, path} {
		_, _ = digest.WriteString(part) // xxhash never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// ticket builds the broker's record of the request.
func (r *request) ticket(traceparent string) *pb.Ticket {
	t := &pb.Ticket{
		Workspace:   r.workspace.GetName(),
		Route:       r.route.GetName(),
		Tier:        r.tier.GetRank(),
		Version:     r.version,
		Fingerprint: r.fingerprint,
		Cancellable: r.route.GetCancellable(),
		Idempotent:  !r.route.GetNonIdempotent(),
		BodyBytes:   int64(len(r.body)),
		Avoid:       r.avoid,
		Traceparent: traceparent,
	}
	if r.chat != nil {
		t.PromptTokens = int32(r.chat.promptTokens)
		t.OutputTokens = int32(r.chat.outputTokens)
		t.Prefix = r.chat.prefix
	}
	return t
}

// shard distributes the workspaces over the groups of a pool, so that all prompts of
// a workspace use the same prefix caches.
func (r *request) shard() int {
	if r.shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(r.workspace.GetName()) % uint64(r.shards))
}
