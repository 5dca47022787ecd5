// Package load generates an open-loop load from a seed, sends it to instances or
// directly to engines, and reports the results as the callers see them.
package load

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// Tier is a tier with its objectives, measured by the callers.
type Tier struct {
	Name string `json:"name"`
	Rank int    `json:"rank"`
	// FirstToken is the longest permitted time from the arrival to the first token,
	// or to the complete response of a service call.
	FirstToken time.Duration `json:"first_token_ns"`
	// TokenInterval is the longest permitted mean time between tokens; 0 for service
	// calls.
	TokenInterval time.Duration `json:"token_interval_ns"`
}

// Class is one kind of request of a mix.
type Class struct {
	Name string
	Tier Tier
	// Share is the weight of the class relative to the other classes.
	Share float64
	// Model is set for engine calls and Path for service calls; the other is empty.
	Model string
	Path  string
	// PromptTokens and OutputTokens are means; lengths vary between half and one and
	// a half times the mean.
	PromptTokens int
	OutputTokens int
	// SharedPrefixRatio is the fraction of requests whose prompt begins with a shared
	// prefix.
	SharedPrefixRatio float64
	// Uncancellable requests keep their slot even if a higher tier needs it.
	Uncancellable bool
}

// Mix is a set of classes with the prefixes that their prompts share.
type Mix struct {
	Name    string
	Classes []Class
	// SharedPrefixes is the number of prompt prefixes that several calls share, and
	// SharedPrefixTokens the length of each.
	SharedPrefixes     int
	SharedPrefixTokens int
}

// Objectives of the tiers.
const (
	firstToken           = 1800 * time.Millisecond
	tokenInterval        = 32 * time.Millisecond
	relaxedTokenInterval = 64 * time.Millisecond
	chatFirstToken       = 2500 * time.Millisecond
	planFirstToken       = 12 * time.Second
	readDeadline         = 5 * time.Second
	batchFirstToken      = 60 * time.Second
)

// plumage is the load of operator A. Plans are a third of the generated tokens, so
// that the top tier alone does not exceed the capacity at twice the total load. All
// responses are proportionally shorter than in production, where a plan of 1,500
// tokens takes longer than a run.
func plumage() Mix {
	return Mix{Name: "plumage-box", Classes: []Class{
		{Name: "plans", Model: "plans", Share: 0.08, PromptTokens: 600, OutputTokens: 240, Uncancellable: true,
			Tier: Tier{Name: "plans", Rank: 0, FirstToken: firstToken, TokenInterval: tokenInterval}},
		{Name: "chat", Model: "chat", Share: 0.40, PromptTokens: 200, OutputTokens: 80,
			Tier: Tier{Name: "interactive", Rank: 1, FirstToken: chatFirstToken, TokenInterval: tokenInterval}},
		{Name: "order-status", Path: "/orders/status", Share: 0.04,
			Tier: Tier{Name: "reads", Rank: 2, FirstToken: readDeadline}},
		{Name: "tags", Model: "tags", Share: 0.48, PromptTokens: 40, OutputTokens: 12,
			Tier: Tier{Name: "batch", Rank: 3, FirstToken: batchFirstToken, TokenInterval: relaxedTokenInterval}},
	}}
}

// clearwater is the load of operator B. A shared prefix is a hundred times as long
// as the prompt of a tag request, and all prefixes together exceed the cache of one
// engine.
func clearwater() Mix {
	return Mix{Name: "clearwater", SharedPrefixes: 40, SharedPrefixTokens: 4000, Classes: []Class{
		{Name: "questions", Model: "field-questions", Share: 0.30, PromptTokens: 120, OutputTokens: 60, SharedPrefixRatio: 0.2,
			Tier: Tier{Name: "field", Rank: 0, FirstToken: firstToken, TokenInterval: tokenInterval}},
		{Name: "clearance-plans", Model: "clearance-plans", Share: 0.15, PromptTokens: 100, OutputTokens: 180, SharedPrefixRatio: 1, Uncancellable: true,
			Tier: Tier{Name: "plans", Rank: 1, FirstToken: planFirstToken, TokenInterval: tokenInterval}},
		{Name: "tags", Model: "photo-tags", Share: 0.55, PromptTokens: 40, OutputTokens: 12,
			Tier: Tier{Name: "batch", Rank: 2, FirstToken: batchFirstToken, TokenInterval: relaxedTokenInterval}},
	}}
}

// MixByName returns the mix with the given name.
func MixByName(name string) (Mix, error) {
	for _, mix := range []Mix{plumage(), clearwater()} {
		if mix.Name == name {
			return mix, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q", name)
}

// Tiers returns the tiers of the mix from the highest to the lowest, which is the
// order of the classes.
func (m Mix) Tiers() []Tier {
	tiers := make([]Tier, 0, len(m.Classes))
	for _, c := range m.Classes {
		tiers = append(tiers, c.Tier)
	}
	return tiers
}

// Call is one request of the load.
type Call struct {
	Number int
	// At is the arrival time relative to the start of the run.
	At           time.Duration
	Class        *Class
	Prompt       string
	OutputTokens int
	// Workspace selects one of the workspaces' bearer tokens.
	Workspace int
}

// PromptTokens estimates the number of tokens in the prompt.
func (c *Call) PromptTokens() int { return prefix.Tokens(len(c.Prompt)) }

// MeanOutputTokens is the mean number of generated tokens of a request.
func (m Mix) MeanOutputTokens() float64 {
	tokens, shares := 0.0, 0.0
	for _, c := range m.Classes {
		tokens += c.Share * float64(c.OutputTokens)
		shares += c.Share
	}
	return tokens / shares
}
