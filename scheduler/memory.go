package scheduler

const (
	// holdShare is the part of a target's token capacity up to which a ticket that waits for
	// memory holds the lower tiers back. For a larger one, most of a target would have to
	// stay idle.
	holdShare = 0.5
)

// tokensOf returns the tokens that a ticket is expected to hold on its target at its end.
func (g *Group) tokensOf(t *Ticket) int {
	return t.PromptTokens + g.set(t.Version).usableOutput(g.now, t)
}

// reserveTokens counts the tokens of a granted request on its target. An adopted request
// has generated a part of its output already.
func (g *Group) reserveTokens(r *run) {
	if r.tokens == 0 {
		r.tokens = g.tokensOf(&r.ticket)
	}
	r.target.tokens += r.tokens
}

// hasMemory reports whether a request with the given tokens leaves the target within its
// token capacity. An engine beyond it preempts its newest request and processes it again
// from the start. A request alone on a target always fits.
func (s *targetState) hasMemory(tokens int) bool {
	return s.TokenCapacity <= 0 || s.running == 0 || s.tokens+tokens <= s.TokenCapacity
}

// holdsLowerTiers reports whether a ticket that waits for memory of the target holds back
// the lower tiers, which would otherwise take what becomes free.
func (s *targetState) holdsLowerTiers(tokens int) bool {
	return float64(tokens) <= holdShare*float64(s.TokenCapacity)
}

// hasRoom reports whether a target of the set can certainly take another request. An open
// target with a token capacity may lack the memory for the requests that wait.
func (v *versionSet) hasRoom() bool {
	for _, s := range v.open {
		if s.TokenCapacity <= 0 || s.running == 0 {
			return true
		}
	}
	return false
}
