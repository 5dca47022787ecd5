// Package load generates an open-loop load from a seed, sends it to instances or
// straight to engines, and reports what the callers saw.
package load

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// Tier is a tier as the callers judge it.
type Tier struct {
	Name string `json:"name"`
	Rank int    `json:"rank"`
	// FirstToken is the longest time from the arrival to the first token, or to
	// the whole answer of a service call.
	FirstToken time.Duration `json:"first_token_ns"`
	// TokenInterval is the longest mean time between tokens; 0 for service calls.
	TokenInterval time.Duration `json:"token_interval_ns"`
}

// Class is one kind of request of a mix.
type Class struct {
	Name string
	Tier Tier
	// Share is the part of all requests, relative to the other classes.
	Share float64
	// Model or Path is what the request addresses; the other one is empty.
	Model string
	Path  string
	// PromptTokens and OutputTokens are means; the lengths vary around them by
	// half to both sides.
	PromptTokens int
	OutputTokens int
	// NoteShare is the part of the requests whose prompt begins with a note.
	NoteShare float64
	// Uncancellable work is finished also when a higher tier needs its place.
	Uncancellable bool
}

// Mix is a set of classes with the notes that their prompts share.
type Mix struct {
	Name    string
	Classes []Class
	// Notes is the number of notes and NoteTokens the length of each.
	Notes      int
	NoteTokens int
}

// Objectives of the tiers.
const (
	firstToken   = 1800 * time.Millisecond
	tokenPace    = 32 * time.Millisecond
	relaxedPace  = 64 * time.Millisecond
	chatFirst    = 2500 * time.Millisecond
	planFirst    = 12 * time.Second
	readDeadline = 5 * time.Second
	batchFirst   = 60 * time.Second
)

// plumage is the load of operator A. Plans are a third of the generated tokens,
// so that the top tier fits at twice the capacity. Answers are shorter than in
// production (a plan of 1,500 tokens lasts longer than a run), in proportion.
func plumage() Mix {
	return Mix{Name: "plumage-box", Classes: []Class{
		{Name: "plans", Model: "plans", Share: 0.08, PromptTokens: 600, OutputTokens: 240, Uncancellable: true,
			Tier: Tier{Name: "plans", Rank: 0, FirstToken: firstToken, TokenInterval: tokenPace}},
		{Name: "chat", Model: "chat", Share: 0.40, PromptTokens: 200, OutputTokens: 80,
			Tier: Tier{Name: "interactive", Rank: 1, FirstToken: chatFirst, TokenInterval: tokenPace}},
		{Name: "order-status", Path: "/orders/status", Share: 0.04,
			Tier: Tier{Name: "reads", Rank: 2, FirstToken: readDeadline}},
		{Name: "tags", Model: "tags", Share: 0.48, PromptTokens: 40, OutputTokens: 12,
			Tier: Tier{Name: "batch", Rank: 3, FirstToken: batchFirst, TokenInterval: relaxedPace}},
	}}
}

// clearwater is the load of operator B. A note is a hundred times as long as a
// tag's prompt, and all notes together exceed the cache of one engine.
func clearwater() Mix {
	return Mix{Name: "clearwater", Notes: 40, NoteTokens: 4000, Classes: []Class{
		{Name: "questions", Model: "field-questions", Share: 0.30, PromptTokens: 120, OutputTokens: 60, NoteShare: 0.2,
			Tier: Tier{Name: "field", Rank: 0, FirstToken: firstToken, TokenInterval: tokenPace}},
		{Name: "clearance-plans", Model: "clearance-plans", Share: 0.15, PromptTokens: 100, OutputTokens: 180, NoteShare: 1, Uncancellable: true,
			Tier: Tier{Name: "plans", Rank: 1, FirstToken: planFirst, TokenInterval: tokenPace}},
		{Name: "tags", Model: "photo-tags", Share: 0.55, PromptTokens: 40, OutputTokens: 12,
			Tier: Tier{Name: "batch", Rank: 2, FirstToken: batchFirst, TokenInterval: relaxedPace}},
	}}
}

// MixByName returns a mix.
func MixByName(name string) (Mix, error) {
	for _, mix := range []Mix{plumage(), clearwater()} {
		if mix.Name == name {
			return mix, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q", name)
}

// Tiers returns the tiers of the mix, the highest first. Classes are listed in
// that order.
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
	// At is the time of arrival after the start.
	At     time.Duration
	Class  *Class
	Prompt string
	Tokens int
	// Workspace picks one of the callers' tokens.
	Workspace int
}

// PromptTokens estimates the length of the prompt.
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
