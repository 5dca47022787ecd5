package scheduler

import (
	"math"
	"time"
)

// Parameters of learned speeds.
const (
	// defaultPrefill and defaultDecode are the speeds, in tokens per second, of a
	// target whose configuration gives none.
	defaultPrefill = 5000.0
	defaultDecode  = 40.0
	// firstTokenOverhead is the overhead assumed until a first token was measured.
	firstTokenOverhead = 20 * time.Millisecond
	// fitDecay is the factor by which each new sample reduces the weight of the
	// older ones.
	fitDecay = 0.95
	// priorWeight is the weight of each of the two points of the initial estimate,
	// which keep the fit determined when all lengths are equal.
	priorWeight = 0.05
	// priorTokens is the prompt length of the second point of the initial estimate.
	priorTokens = 4096
	// priorBatch is the batch size of the second point of the time between tokens,
	// where a step is assumed to take priorBatchSlowdown times as long as with a
	// single request.
	priorBatch         = 32
	priorBatchSlowdown = 1.5
	// confidenceHalfLife is the time without a measurement that halves the
	// estimate on which refusals rest. Otherwise one slow period could cause the
	// refusal of every request, and no request would run to correct the estimate.
	confidenceHalfLife = 30 * time.Second
	// errorWeight is the weight of a new sample in the mean error of estimates
	// and in the mean time of a request.
	errorWeight = 0.1
	// slownessWeight is the weight of a new sample in a target's slowness.
	slownessWeight = 0.2
	// maxMarginShare bounds the margin, so that a period of wrong estimates does
	// not refuse requests that a doubled estimate would accept.
	maxMarginShare = 1
	// maxFirstTokenRatio bounds a sample of the time to the first token, as a
	// multiple of its estimate.
	maxFirstTokenRatio = 3
	// minPerToken bounds the learned time of a prompt token from below, as a
	// fraction of the initial estimate.
	minPerToken = 0.1
	// minJudgedTokens is the shortest response from which the speed of an engine
	// is judged. An engine may process another prompt between two tokens of a
	// response: at this length, a prompt of 8,000 tokens adds less than half to
	// the mean time between tokens.
	minJudgedTokens = 64
	// maxSlownessRatio bounds a sample as a multiple of the slowness so far,
	// minSlowness keeps the slowness above 0.
	maxSlownessRatio = 10
	minSlowness      = 0.01
)

// fit is a least-squares line through exponentially weighted samples. Request
// lengths vary a hundredfold, so a mean alone would charge short requests for long
// ones.
type fit struct {
	// w is the sum of the weights; the others are weighted sums.
	w, x, y, xx, xy float64
	prior           [2]point
}

type point struct{ x, y float64 }

func newFit(a, b point) fit { return fit{prior: [2]point{a, b}} }

func (f *fit) add(x, y float64) {
	f.w = f.w*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// line returns intercept and slope, neither of them negative.
func (f *fit) line() (intercept, slope float64) {
	w, x, y, xx, xy := f.w, f.x, f.y, f.xx, f.xy
	for _, p := range f.prior {
		w += priorWeight
		x += priorWeight * p.x
		y += priorWeight * p.y
		xx += priorWeight * p.x * p.x
		xy += priorWeight * p.x * p.y
	}
	slope = math.Max(0, (w*xy-x*y)/(w*xx-x*x))
	intercept = (y - slope*x) / w
	if intercept < 0 {
		return 0, xy / xx
	}
	return intercept, slope
}

// priorSlope is the slope of the initial estimate.
func (f *fit) priorSlope() float64 {
	a, b := f.prior[0], f.prior[1]
	return (b.y - a.y) / (b.x - a.x)
}

// speed is the estimated speed of a target.
type speed struct {
	// firstToken maps uncached prompt tokens to seconds until the first token.
	firstToken fit
	// interval maps the batch size to seconds between tokens.
	interval fit
	// The fitted lines are cached because they are read far more often than they change.
	base, perToken        float64
	intervalBase, perSlot float64
	// known is false until a speed is configured or measured; refusals do not rest
	// on default speeds.
	known bool
	// measured is the time of the last measurement, initially that of the configuration.
	measured time.Time
	// meanError is the mean difference, in seconds, between the estimated and the
	// measured time to the first token; meanEstimate is the mean estimate.
	meanError, meanEstimate float64
	// total is the mean time of a whole request, in seconds. Calls of services
	// have no tokens from which to estimate it.
	total float64
	// speedUnknown is Target.SpeedUnknown. If it is set, ratios are relative to
	// bestRatio, the least mean of earlier ratios.
	// recentRatio is the present mean, over ratioSamples requests.
	speedUnknown           bool
	bestRatio, recentRatio float64
	ratioSamples           int
	// slowness is the measured time over the initial estimate, which makes
	// hardware generations with different configured speeds comparable.
	slowness float64
	// judged is the number of requests included in slowness.
	judged int
}

func newSpeed(now time.Time, t Target) speed {
	prefill, decode := t.PrefillTokensPerSecond, t.DecodeTokensPerSecond
	known := prefill > 0
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	if decode <= 0 {
		decode = defaultDecode
	}
	base := firstTokenOverhead.Seconds()
	s := speed{
		speedUnknown: t.SpeedUnknown,
		firstToken:   newFit(point{0, base}, point{priorTokens, base + priorTokens/prefill}),
		interval:     newFit(point{1, 1 / decode}, point{priorBatch, priorBatchSlowdown / decode}),
		known:        known,
		measured:     now,
		slowness:     1,
	}
	s.refresh()
	return s
}

func (s *speed) refresh() {
	s.base, s.perToken = s.firstToken.line()
	s.perToken = math.Max(s.perToken, s.firstToken.priorSlope()*minPerToken)
	s.intervalBase, s.perSlot = s.interval.line()
}

// backlog is the estimated work of the prompts that a request waits for on its target.
type backlog struct {
	tokens float64
	time   time.Duration
}

// observe updates the estimates from a served request and returns its slowness, or
// the target's slowness if the request is not judged. ahead is the part of the
// time to the first token that was predicted to be spent behind other prompts. Its
// tokens are added to the request's own. If its time were subtracted instead, a wait
// that was predicted too short would count as overhead of the target, and the next
// wait would be predicted shorter still.
func (s *speed) observe(now time.Time, c Completion, ahead backlog, batch int) float64 {
	uncached := float64(max(0, c.PromptTokens-c.CachedTokens))
	first := c.FirstToken.Seconds()
	if first > 0 {
		tokens := uncached + ahead.tokens
		// A request that waits behind a prompt unknown to the group must not
		// distort the target's speed.
		s.firstToken.add(tokens, math.Min(first, maxFirstTokenRatio*(s.base+s.perToken*tokens)))
	}
	if interval, ok := tokenInterval(c); ok {
		s.interval.add(float64(batch), interval.Seconds())
	}
	s.refresh()
	s.known = true
	s.measured = now
	if s.total == 0 {
		s.total = c.Total.Seconds()
	}
	s.total += errorWeight * (c.Total.Seconds() - s.total)
	ratio, ok := s.ratio(c, uncached, ahead, batch)
	if ok && s.speedUnknown {
		ratio, ok = s.relativeToBest(ratio)
	}
	if !ok {
		return s.slowness
	}
	s.judged++
	// A single request of unusual length must not make its target an outlier.
	sample := math.Min(ratio, maxSlownessRatio*s.slowness)
	s.slowness = math.Max(minSlowness, updatedMean(s.slowness, sample, s.judged))
	return ratio
}

// updatedMean returns the mean after its n-th sample. The first samples have equal
// weights.
func updatedMean(mean, sample float64, n int) float64 {
	return mean + math.Max(slownessWeight, 1/float64(n))*(sample-mean)
}

// relativeToBest returns a ratio relative to the target's best mean ratio. It
// reports false until there are slownessSamples ratios.
func (s *speed) relativeToBest(ratio float64) (float64, bool) {
	s.ratioSamples++
	s.recentRatio = updatedMean(s.recentRatio, ratio, s.ratioSamples)
	if s.ratioSamples < slownessSamples {
		return 0, false
	}
	if s.bestRatio == 0 || s.recentRatio < s.bestRatio {
		s.bestRatio = math.Max(minSlowness, s.recentRatio)
	}
	return ratio / s.bestRatio, true
}

// ratio returns a request's time over the initial estimate. For a model engine
// only the time between tokens counts, and only for responses of at least
// minJudgedTokens: a short one may wait many times its own duration behind other
// prompts.
func (s *speed) ratio(c Completion, uncached float64, ahead backlog, batch int) (float64, bool) {
	if c.OutputTokens > 0 {
		interval, ok := tokenInterval(c)
		return interval.Seconds() / s.priorInterval(batch), ok && c.OutputTokens >= minJudgedTokens
	}
	whole := c.Total.Seconds() - math.Min(ahead.time.Seconds(), c.FirstToken.Seconds())
	return whole / s.priorSeconds(uncached, c.OutputTokens, batch), true
}

// recordError updates the mean error from the estimated and the measured time to a
// first token.
func (s *speed) recordError(estimated, measured time.Duration) {
	if measured > 0 {
		s.meanError += errorWeight * ((estimated - measured).Abs().Seconds() - s.meanError)
		s.meanEstimate += errorWeight * (estimated.Seconds() - s.meanEstimate)
	}
}

// margin returns the expected error of an estimate. It is proportional to the
// estimate, so that the errors of long prompts do not refuse short ones.
func (s *speed) margin(first float64) float64 {
	if s.meanEstimate == 0 {
		return s.meanError
	}
	return first * s.marginShare()
}

// marginShare returns the margin as a fraction of the estimate.
func (s *speed) marginShare() float64 {
	if s.meanEstimate == 0 {
		return 0
	}
	return math.Min(maxMarginShare, s.meanError/s.meanEstimate)
}

// resetSlowness discards the samples of an ejected target, which is judged anew
// after its probe.
func (s *speed) resetSlowness() {
	s.slowness, s.judged = 1, 0
}

// priorSeconds returns the whole time of a request by the initial estimate.
func (s *speed) priorSeconds(uncached float64, output, batch int) float64 {
	return s.priorFirstToken(uncached) + s.priorInterval(batch)*float64(output)
}

// priorFirstToken returns the time to the first token by the initial estimate.
func (s *speed) priorFirstToken(uncached float64) float64 {
	p := s.firstToken.prior
	return p[0].y + (p[1].y-p[0].y)*uncached/priorTokens
}

// priorInterval returns the time between tokens by the initial estimate.
func (s *speed) priorInterval(batch int) float64 {
	d := s.interval.prior
	return d[0].y + (d[1].y-d[0].y)*float64(batch)/priorBatch
}

// firstTokenSeconds estimates the prefill of uncached prompt tokens.
func (s *speed) firstTokenSeconds(uncached int) float64 {
	return s.base + s.perToken*float64(uncached)
}

// decodeSeconds estimates the time of the output tokens in a batch of the given size.
func (s *speed) decodeSeconds(tokens, batch int) float64 {
	return float64(tokens) * s.intervalSeconds(batch)
}

// intervalSeconds estimates the time between tokens in a batch of the given size.
func (s *speed) intervalSeconds(batch int) float64 {
	return s.intervalBase + s.perSlot*float64(batch)
}

// confidence is the factor for estimates that a refusal rests on: 0 if no speed is
// known, and decreasing with the time since the last measurement.
func (s *speed) confidence(now time.Time) float64 {
	if !s.known {
		return 0
	}
	return math.Exp2(-now.Sub(s.measured).Seconds() / confidenceHalfLife.Seconds())
}

// tokenInterval returns the mean time between the output tokens of a request.
func tokenInterval(c Completion) (time.Duration, bool) {
	if c.OutputTokens < 2 || c.FirstToken <= 0 || c.Total <= c.FirstToken {
		return 0, false
	}
	return (c.Total - c.FirstToken) / time.Duration(c.OutputTokens-1), true
}

// objective returns the objective for the time between tokens on this target. A
// target that exceeds the group's objective even with a single request would be
// limited to one request at a time, without batching, so its objective follows
// from its own speed.
func (s *speed) objective(group time.Duration) time.Duration {
	return max(group, seconds(priorBatchSlowdown*s.intervalSeconds(1)))
}

// Parameters of the concurrency limit.
const (
	// maxConcurrency bounds the limit of a target that configures none.
	maxConcurrency = 256
	// limitStep and limitBackoff place the limit where about one request in
	// twenty exceeds the objective: 0.1% up for each one within it, 1.9% down
	// for each one beyond.
	limitStep    = 0.001
	limitBackoff = 0.019
	// limitHeadroom increases the growth by the square of the headroom below the
	// objective, which is small near it: 2.5% a request at half the objective.
	limitHeadroom = 0.1
	// limitInUse is the part of the limit that must be in use for a request
	// within the objective to raise it.
	limitInUse = 0.75
)

// limiter adapts the concurrency of a target to the objective for the time between tokens.
type limiter struct {
	value   float64
	ceiling float64
}

func newLimiter(configured int) limiter {
	if configured > 0 {
		return limiter{value: float64(configured), ceiling: float64(configured)}
	}
	return limiter{value: DefaultConcurrency, ceiling: maxConcurrency}
}

func (l *limiter) limit() int { return max(1, int(l.value)) }

func (l *limiter) observe(interval, objective time.Duration, batch int) {
	if interval > objective {
		l.value = math.Max(1, l.value*(1-limitBackoff))
		return
	}
	if float64(batch) >= limitInUse*l.value {
		headroom := 1 - interval.Seconds()/objective.Seconds()
		l.value = math.Min(l.ceiling, l.value*(1+limitStep+limitHeadroom*headroom*headroom))
	}
}
