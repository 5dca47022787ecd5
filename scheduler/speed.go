package scheduler

import (
	"math"
	"time"
)

// Parameters of learned speeds.
const (
	// defaultPrefill and defaultDecode stand in, in tokens per second, for
	// speeds that the configuration does not give.
	defaultPrefill = 5000.0
	defaultDecode  = 40.0
	// firstTokenOverhead is assumed before any first token was measured.
	firstTokenOverhead = 20 * time.Millisecond
	// fitMemory is the weight that older samples keep with each new one.
	fitMemory = 0.95
	// priorWeight is the weight of each of the two points of the initial
	// estimate. They keep the fit determined when all lengths are equal.
	priorWeight = 0.05
	// priorTokens is the prompt length of the second point of the initial estimate.
	priorTokens = 4096
	// priorBatch is the batch size of that point, where a step is assumed to
	// take priorBatchSlowdown times as long as alone.
	priorBatch         = 32
	priorBatchSlowdown = 1.5
	// staleEstimate halves the estimate that refusals rest on for each such
	// time without a measurement. Otherwise one slow spell could refuse every
	// request, and with them the measurements that would end it.
	staleEstimate = 30 * time.Second
	// errorWeight is the weight of a new sample in the mean error of estimates
	// and in the mean time of a request.
	errorWeight = 0.1
	// slownessWeight is the weight of a new sample in a target's slowness.
	slownessWeight = 0.2
	// maxMarginShare bounds the margin, so that a spell of wrong estimates does
	// not refuse what a doubled estimate would let pass.
	maxMarginShare = 1
	// maxFirstTokenJump bounds a sample of the first token's time by its estimate.
	maxFirstTokenJump = 3
	// minPerToken bounds the learned time of a prompt token, by the initial estimate.
	minPerToken = 0.1
	// minJudgedTokens is the least answer of an engine that tells its speed: the
	// prompt of another of 8,000 tokens, read between two of its tokens, then adds
	// less than half to the mean time between them.
	minJudgedTokens = 64
	// maxSlownessJump bounds a sample by the slowness so far, minSlowness keeps it above 0.
	maxSlownessJump = 10
	minSlowness     = 0.01
)

// fit is a line through exponentially weighted samples, by least squares.
// Request lengths vary a hundredfold, so a mean alone would charge short
// requests for long ones.
type fit struct {
	w, x, y, xx, xy float64
	prior           [2]point
}

type point struct{ x, y float64 }

func newFit(a, b point) fit { return fit{prior: [2]point{a, b}} }

func (f *fit) add(x, y float64) {
	f.w = f.w*fitMemory + 1
	f.x = f.x*fitMemory + x
	f.y = f.y*fitMemory + y
	f.xx = f.xx*fitMemory + x*x
	f.xy = f.xy*fitMemory + x*y
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

// speed is what is known of a target's speed.
type speed struct {
	// firstToken maps uncached prompt tokens to seconds until the first token.
	firstToken fit
	// interval maps the batch size to seconds between tokens.
	interval fit
	// The lines are kept, as they are read far more often than they change.
	base, perToken        float64
	intervalBase, perSlot float64
	// known is false until a speed is configured or measured; refusals do not
	// rest on invented speeds.
	known bool
	// measured is the time of the last measurement, at first of the configuration.
	measured time.Time
	// error is the mean difference, in seconds, between a first token's estimate
	// and its time, and expected the mean estimate.
	error, expected float64
	// total is the mean time of a whole request, in seconds; calls of services
	// have no tokens to estimate it from.
	total float64
	// guessed is set if the initial estimate is not the target's own. past is then
	// the least mean of earlier ratios, pace the present one of paced requests.
	guessed    bool
	past, pace float64
	paced      int
	// slowness is measured time over the initial estimate's, so that hardware
	// generations with different configured speeds compare.
	slowness float64
	// judged counts the requests that entered slowness.
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
		guessed:    t.SpeedUnknown,
		firstToken: newFit(point{0, base}, point{priorTokens, base + priorTokens/prefill}),
		interval:   newFit(point{1, 1 / decode}, point{priorBatch, priorBatchSlowdown / decode}),
		known:      known,
		measured:   now,
		slowness:   1,
	}
	s.refresh()
	return s
}

func (s *speed) refresh() {
	s.base, s.perToken = s.firstToken.line()
	s.perToken = math.Max(s.perToken, s.firstToken.priorSlope()*minPerToken)
	s.intervalBase, s.perSlot = s.interval.line()
}

// backlog is the prompts that a request was predicted to wait for on its target.
type backlog struct {
	tokens float64
	time   time.Duration
}

// observe learns from a served request and returns its slowness, or the target's
// if it tells none. ahead is the part of the first token's time that was predicted
// to be spent behind other prompts. It enters the fit as tokens: as a time it would
// make a wait that was predicted too short pass as the target's overhead, and
// the next wait would be predicted shorter still.
func (s *speed) observe(now time.Time, c Completion, ahead backlog, batch int) float64 {
	uncached := float64(max(0, c.PromptTokens-c.CachedTokens))
	first := c.FirstToken.Seconds()
	if first > 0 {
		tokens := uncached + ahead.tokens
		// One request behind a prompt that the group does not know of must not
		// pass as the target's speed.
		s.firstToken.add(tokens, math.Min(first, maxFirstTokenJump*(s.base+s.perToken*tokens)))
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
	if ok && s.guessed {
		ratio, ok = s.overPast(ratio)
	}
	if !ok {
		return s.slowness
	}
	s.judged++
	// One request of an outlying length must not make an outlier of its target.
	sample := math.Min(ratio, maxSlownessJump*s.slowness)
	s.slowness = math.Max(minSlowness, moved(s.slowness, sample, s.judged))
	return ratio
}

// moved is the mean after its n-th sample, the first of which have equal weights.
func moved(mean, sample float64, n int) float64 {
	return mean + math.Max(slownessWeight, 1/float64(n))*(sample-mean)
}

// overPast compares a ratio with the target's past, once there is some.
func (s *speed) overPast(ratio float64) (float64, bool) {
	s.paced++
	s.pace = moved(s.pace, ratio, s.paced)
	if s.paced < slownessSamples {
		return 0, false
	}
	if s.past == 0 || s.pace < s.past {
		s.past = math.Max(minSlowness, s.pace)
	}
	return ratio / s.past, true
}

// ratio is a request's time over the initial estimate. Of a model engine only the
// time between tokens counts, and only of answers of some length: a short one may
// wait many times its own time behind the prompts of others.
func (s *speed) ratio(c Completion, uncached float64, ahead backlog, batch int) (float64, bool) {
	if c.OutputTokens > 0 {
		interval, ok := tokenInterval(c)
		return interval.Seconds() / s.priorInterval(batch), ok && c.OutputTokens >= minJudgedTokens
	}
	whole := c.Total.Seconds() - math.Min(ahead.time.Seconds(), c.FirstToken.Seconds())
	return whole / s.priorSeconds(uncached, c.OutputTokens, batch), true
}

// check compares an estimate of a first token with its time.
func (s *speed) check(estimated, measured time.Duration) {
	if measured > 0 {
		s.error += errorWeight * ((estimated - measured).Abs().Seconds() - s.error)
		s.expected += errorWeight * (estimated.Seconds() - s.expected)
	}
}

// margin is the error to expect of an estimate. It is in proportion to the
// estimate, so that the errors of long prompts do not refuse short ones.
func (s *speed) margin(first float64) float64 {
	if s.expected == 0 {
		return s.error
	}
	return first * s.marginShare()
}

// marginShare is the margin as a part of the estimate.
func (s *speed) marginShare() float64 {
	if s.expected == 0 {
		return 0
	}
	return math.Min(maxMarginShare, s.error/s.expected)
}

// forgetSlowness has an ejected target judged anew after its probe.
func (s *speed) forgetSlowness() {
	s.slowness, s.judged = 1, 0
}

// priorSeconds is the whole time of a request by the initial estimate.
func (s *speed) priorSeconds(uncached float64, output, batch int) float64 {
	return s.priorFirstToken(uncached) + s.priorInterval(batch)*float64(output)
}

// priorFirstToken is the time to the first token by the initial estimate.
func (s *speed) priorFirstToken(uncached float64) float64 {
	p := s.firstToken.prior
	return p[0].y + (p[1].y-p[0].y)*uncached/priorTokens
}

// priorInterval is the time between tokens by the initial estimate.
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

// trust scales the estimates that a refusal rests on: 0 if no speed is known,
// and less with the time since the last measurement.
func (s *speed) trust(now time.Time) float64 {
	if !s.known {
		return 0
	}
	return math.Exp2(-now.Sub(s.measured).Seconds() / staleEstimate.Seconds())
}

// tokenInterval is the mean time between the output tokens of a request.
func tokenInterval(c Completion) (time.Duration, bool) {
	if c.OutputTokens < 2 || c.FirstToken <= 0 || c.Total <= c.FirstToken {
		return 0, false
	}
	return (c.Total - c.FirstToken) / time.Duration(c.OutputTokens-1), true
}

// objective returns the time between tokens that the target is held to. A
// target that exceeds the group's objective even alone would be limited to one
// request at a time and its batching wasted; it is held to its own speed.
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
	// limitHeadroom speeds up the growth by the square of the headroom below
	// the objective, which is small near it: 2.5% a request at half the objective.
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
