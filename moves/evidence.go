package moves

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/basilloom/basilloom/evidence"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	// WindowLength is the length of an evidence window, counted from the Unix epoch.
	WindowLength = 5 * time.Second
	// unfoldedWindows is the number of latest windows whose counters are kept separately
	// for each instance. Older windows are folded into one total, which bounds memory
	// in large fleets. Counters received for a folded window are ignored.
	unfoldedWindows = 60
	// retainedWindows limits the history of a move to six hours.
	retainedWindows = 4320
)

// WindowOf returns the number of the window that contains the time.
func WindowOf(t time.Time) int64 { return t.Unix() / int64(WindowLength/time.Second) }

// firstFullWindow returns the first window that begins at or after the time.
func firstFullWindow(t time.Time) int64 { return WindowOf(t.Add(WindowLength - 1)) }

func addCounter(t *evidence.Totals, c *pb.EvidenceCounter) {
	t.Add(evidence.Totals{
		Requests: c.GetRequests(), Failures: c.GetFailures(),
		First: evidence.DecodeTimes(c.GetFirstToken()), Intervals: evidence.DecodeTimes(c.GetTokenInterval()),
	})
}

// WindowTotals is the evidence of one window.
type WindowTotals struct {
	Window int64
	evidence.Totals
}

// Series is the evidence of one version of a move, ordered by window.
type Series []WindowTotals

// since sums the given window and all later ones.
func (s Series) since(window int64) evidence.Totals {
	var sum evidence.Totals
	for _, w := range s {
		if w.Window >= window {
			sum.Add(w.Totals)
		}
	}
	return sum
}

// baseline sums like since and then adds earlier windows, latest first, until the sum
// has the wanted number of requests.
func (s Series) baseline(window, wanted int64) evidence.Totals {
	sum := s.since(window)
	for _, w := range slices.Backward(s) {
		if sum.Requests >= wanted {
			break
		}
		if w.Window < window {
			sum.Add(w.Totals)
		}
	}
	return sum
}

// Sample is the observation of a target version from one dispatched request. It has the
// fields of entry.Sample, so that values can be converted.
type Sample struct {
	Route   string
	Version string
	Failed  bool
	// FirstToken is measured from the dispatch. TokenInterval is the mean time
	// between two tokens, 0 if there are fewer than two.
	FirstToken    time.Duration
	TokenInterval time.Duration
}

type seriesKey struct{ move, version string }

type cellKey struct {
	instance    string
	incarnation uint64
}

type window struct {
	cells  map[cellKey]*pb.EvidenceCounter
	folded *evidence.Totals
}

func (w *window) totals() evidence.Totals {
	if w.folded != nil {
		return *w.folded
	}
	var sum evidence.Totals
	for _, c := range w.cells {
		addCounter(&sum, c)
	}
	return sum
}

func (w *window) fold() {
	if w.folded == nil {
		sum := w.totals()
		w.folded, w.cells = &sum, nil
	}
}

// Recorder counts this instance's samples and merges the counters of other instances.
// It is safe for concurrent use.
type Recorder struct {
	self cellKey

	mu     sync.Mutex
	series map[seriesKey]map[int64]*window
}

// NewRecorder returns an empty recorder for an instance.
func NewRecorder(instance string, incarnation uint64) *Recorder {
	return &Recorder{
		self:   cellKey{instance, incarnation},
		series: map[seriesKey]map[int64]*window{},
	}
}

// Add counts a sample of a move.
func (r *Recorder) Add(now time.Time, move string, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cell(seriesKey{move, s.Version}, WindowOf(now), r.self)
	if c == nil {
		return
	}
	c.Requests++
	if s.Failed {
		c.Failures++
		return
	}
	c.FirstToken = addTime(c.GetFirstToken(), s.FirstToken)
	if s.TokenInterval > 0 {
		c.TokenInterval = addTime(c.GetTokenInterval(), s.TokenInterval)
	}
}

// cell returns the counter of an instance, or nil if its window is folded.
func (r *Recorder) cell(key seriesKey, number int64, owner cellKey) *pb.EvidenceCounter {
	windows := r.series[key]
	if windows == nil {
		windows = map[int64]*window{}
		r.series[key] = windows
	}
	w := windows[number]
	if w == nil {
		w = &window{cells: map[cellKey]*pb.EvidenceCounter{}}
		windows[number] = w
	}
	if w.folded != nil {
		return nil
	}
	c := w.cells[owner]
	if c == nil {
		c = &pb.EvidenceCounter{
			Move: key.move, Version: key.version, Window: number,
			Instance: owner.instance, Incarnation: owner.incarnation,
		}
		w.cells[owner] = c
	}
	return c
}

// Merge adds the counters of other instances. Counters only grow, so the larger value
// of each field is kept. Counters of this instance are ignored.
func (r *Recorder) Merge(now time.Time, counters []*pb.EvidenceCounter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := WindowOf(now)
	for _, in := range counters {
		owner := cellKey{in.GetInstance(), in.GetIncarnation()}
		if owner == r.self || in.GetWindow() <= current-unfoldedWindows || in.GetWindow() > current+unfoldedWindows {
			continue
		}
		if c := r.cell(seriesKey{in.GetMove(), in.GetVersion()}, in.GetWindow(), owner); c != nil {
			mergeCounter(c, in)
		}
	}
}

func mergeCounter(c, in *pb.EvidenceCounter) {
	c.Requests = max(c.Requests, in.GetRequests())
	c.Failures = max(c.Failures, in.GetFailures())
	c.FirstToken = laterTimes(c.GetFirstToken(), in.GetFirstToken())
	c.TokenInterval = laterTimes(c.GetTokenInterval(), in.GetTokenInterval())
}

// laterTimes returns the sums that include more times.
func laterTimes(a, b *pb.TimeSums) *pb.TimeSums {
	if b.GetCount() > a.GetCount() {
		return clone(b)
	}
	return a
}

func addTime(m *pb.TimeSums, d time.Duration) *pb.TimeSums {
	times := evidence.DecodeTimes(m)
	times.Add(d)
	return times.Message()
}

// Series returns the evidence of a version of a move.
func (r *Recorder) Series(move, version string) Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	var series Series
	for number, w := range r.series[seriesKey{move, version}] {
		series = append(series, WindowTotals{Window: number, Totals: w.totals()})
	}
	slices.SortFunc(series, func(a, b WindowTotals) int { return cmp.Compare(a.Window, b.Window) })
	return series
}

// Counters returns copies of the counters from the given window on: those of this
// instance, or of all instances.
func (r *Recorder) Counters(from int64, all bool) []*pb.EvidenceCounter {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pb.EvidenceCounter
	for _, windows := range r.series {
		for number, w := range windows {
			if number < from {
				continue
			}
			for owner, c := range w.cells {
				if all || owner == r.self {
					out = append(out, clone(c))
				}
			}
		}
	}
	return out
}

// Trim folds and removes old windows, and removes moves for which keep returns false.
func (r *Recorder) Trim(now time.Time, keep func(move string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := WindowOf(now)
	for key, windows := range r.series {
		if !keep(key.move) {
			delete(r.series, key)
			continue
		}
		for number, w := range windows {
			if number <= current-retainedWindows {
				delete(windows, number)
			} else if number <= current-unfoldedWindows {
				w.fold()
			}
		}
	}
}
