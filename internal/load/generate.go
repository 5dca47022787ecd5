package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// Generate returns the calls of a run: arrivals at random, at the given mean
// rate per second. Equal arguments give equal calls.
func (m Mix) Generate(seed uint64, rate float64, length time.Duration) []Call {
	g := newGenerator(m, seed)
	var calls []Call
	var at time.Duration
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return calls
		}
		call := g.next()
		call.Number, call.At = len(calls)+1, at
		calls = append(calls, call)
	}
}

type generator struct {
	mix   Mix
	rng   *rand.Rand
	total float64
	notes []string
}

func newGenerator(mix Mix, seed uint64) *generator {
	g := &generator{mix: mix, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, c := range mix.Classes {
		g.total += c.Share
	}
	for range mix.Notes {
		g.notes = append(g.notes, g.text(mix.NoteTokens))
	}
	return g
}

func (g *generator) next() Call {
	class := g.class()
	call := Call{Class: class, Workspace: g.rng.IntN(1 << 16)}
	if class.Model == "" {
		return call
	}
	call.Tokens = g.around(class.OutputTokens)
	own := g.text(g.around(class.PromptTokens))
	call.Prompt = own
	if g.rng.Float64() < class.NoteShare {
		call.Prompt = g.note() + own
	}
	return call
}

func (g *generator) class() *Class {
	pick := g.rng.Float64() * g.total
	for i := range g.mix.Classes {
		pick -= g.mix.Classes[i].Share
		if pick < 0 {
			return &g.mix.Classes[i]
		}
	}
	return &g.mix.Classes[len(g.mix.Classes)-1]
}

// note picks a note; half of the requests are about a quarter of the notes.
func (g *generator) note() string {
	n := len(g.notes)
	if g.rng.IntN(2) == 0 {
		n = max(1, n/4)
	}
	return g.notes[g.rng.IntN(n)]
}

// around varies a mean length by half to both sides.
func (g *generator) around(mean int) int {
	return max(1, mean/2+g.rng.IntN(mean+1))
}

// text returns random words of about the given number of tokens.
func (g *generator) text(tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*prefix.BytesPerToken {
		fmt.Fprintf(&b, "%07x ", g.rng.Uint32()&0xfffffff)
	}
	return b.String()[:tokens*prefix.BytesPerToken]
}
