package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// Generate returns the calls of a run, with Poisson arrivals at the given mean rate
// per second. Equal arguments give equal calls.
func (m Mix) Generate(seed uint64, rate float64, length time.Duration) []Call {
	g := newGenerator(m, seed)
	var calls []Call
	var at time.Duration
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return calls
		}
		call := g.nextCall()
		call.Number, call.At = len(calls)+1, at
		calls = append(calls, call)
	}
}

type generator struct {
	mix        Mix
	rng        *rand.Rand
	totalShare float64
	prefixes   []string
}

func newGenerator(mix Mix, seed uint64) *generator {
	g := &generator{mix: mix, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, c := range mix.Classes {
		g.totalShare += c.Share
	}
	for range mix.SharedPrefixes {
		g.prefixes = append(g.prefixes, g.randomText(mix.SharedPrefixTokens))
	}
	return g
}

func (g *generator) nextCall() Call {
	class := g.pickClass()
	call := Call{Class: class, Workspace: g.rng.IntN(1 << 16)}
	if class.Model == "" {
		return call
	}
	call.OutputTokens = g.randomLength(class.OutputTokens)
	suffix := g.randomText(g.randomLength(class.PromptTokens))
	call.Prompt = suffix
	if g.rng.Float64() < class.SharedPrefixRatio {
		call.Prompt = g.pickPrefix() + suffix
	}
	return call
}

func (g *generator) pickClass() *Class {
	pick := g.rng.Float64() * g.totalShare
	for i := range g.mix.Classes {
		pick -= g.mix.Classes[i].Share
		if pick < 0 {
			return &g.mix.Classes[i]
		}
	}
	return &g.mix.Classes[len(g.mix.Classes)-1]
}

// pickPrefix picks a shared prefix; half of the picks are limited to the first
// quarter of the prefixes.
func (g *generator) pickPrefix() string {
	n := len(g.prefixes)
	if g.rng.IntN(2) == 0 {
		n = max(1, n/4)
	}
	return g.prefixes[g.rng.IntN(n)]
}

// randomLength returns a length between half and one and a half times the mean.
func (g *generator) randomLength(mean int) int {
	return max(1, mean/2+g.rng.IntN(mean+1))
}

// randomText returns random words with the length of the given number of tokens.
func (g *generator) randomText(tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*prefix.BytesPerToken {
		fmt.Fprintf(&b, "%07x ", g.rng.Uint32()&0xfffffff)
	}
	return b.String()[:tokens*prefix.BytesPerToken]
}
