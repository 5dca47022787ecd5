package broker

import (
	"sync"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// Periods of the forecasts that a runner sends to the entries.
const (
	// forecastInterval is the time between two forecasts, and forecastRenewal the time
	// after which one that has not changed is sent again. Two renewals may be lost before
	// entries forget it (scheduler.ForecastValidity).
	forecastInterval = 200 * time.Millisecond
	forecastRenewal  = 400 * time.Millisecond
	// forecastDelay is how long a forecast waits for a response that carries it.
	forecastDelay = 60 * time.Millisecond
	// forecastChange is the factor by which a wait must change for the forecast to be sent
	// before its renewal.
	forecastChange = 1.33
)

// publisher decides when a group's forecast is sent. The runner's goroutine owns it.
type publisher struct {
	enabled bool
	// waits are those of the forecast sent last, message is that forecast, number counts
	// the forecasts and at is when it was made.
	waits    map[scheduler.Rank]time.Duration
	message  *pb.Forecast
	number   int
	at       time.Time
	computed time.Time
}

// update makes a new forecast if one is due.
func (p *publisher) update(now time.Time, group *scheduler.Group) {
	if !p.enabled || now.Sub(p.computed) < forecastInterval {
		return
	}
	p.computed = now
	forecast := group.Forecast(now)
	renew := len(forecast) > 0 && now.Sub(p.at) >= forecastRenewal
	if !renew && !p.differs(forecast) {
		return
	}
	p.waits = make(map[scheduler.Rank]time.Duration, len(forecast))
	p.message = &pb.Forecast{}
	for _, t := range forecast {
		p.waits[t.Tier] = t.Wait
		p.message.Tiers = append(p.message.Tiers, tierMessage(t))
	}
	p.number++
	p.at = now
}

// differs reports whether a tier's wait has changed by forecastChange.
func (p *publisher) differs(forecast []scheduler.TierForecast) bool {
	if len(forecast) != len(p.waits) {
		return true
	}
	for _, t := range forecast {
		before, ok := p.waits[t.Tier]
		if !ok || t.Wait.Seconds() > forecastChange*before.Seconds() || before.Seconds() > forecastChange*t.Wait.Seconds() {
			return true
		}
	}
	return false
}

// attach adds the forecast to a response to the session that has not got it.
func (p *publisher) attach(s *Session, response *pb.TicketsResponse) {
	if p.message != nil && s.forecast != p.number {
		s.forecast = p.number
		response.Forecast = p.message
	}
}

// send sends the forecast to the sessions that had no other response in time.
func (p *publisher) send(now time.Time, sessions map[entryKey]*Session) {
	if p.message == nil || now.Sub(p.at) < forecastDelay {
		return
	}
	for _, s := range sessions {
		if s.forecast == p.number || (s.forecast == 0 && len(p.waits) == 0) {
			continue
		}
		response := &pb.TicketsResponse{}
		p.attach(s, response)
		s.push(response)
	}
}

func tierMessage(t scheduler.TierForecast) *pb.TierForecast {
	m := &pb.TierForecast{Tier: int32(t.Tier), WaitMs: t.Wait.Milliseconds()}
	for workspace, wait := range t.Workspaces {
		m.Workspaces = append(m.Workspaces, &pb.WorkspaceForecast{Workspace: workspace, WaitMs: wait.Milliseconds()})
	}
	return m
}

func toForecast(m *pb.Forecast) []scheduler.TierForecast {
	forecast := make([]scheduler.TierForecast, 0, len(m.GetTiers()))
	for _, t := range m.GetTiers() {
		f := scheduler.TierForecast{
			Tier: scheduler.Rank(t.GetTier()), Wait: time.Duration(t.GetWaitMs()) * time.Millisecond,
			Workspaces: make(map[string]time.Duration, len(t.GetWorkspaces())),
		}
		for _, w := range t.GetWorkspaces() {
			f.Workspaces[w.GetWorkspace()] = time.Duration(w.GetWaitMs()) * time.Millisecond
		}
		forecast = append(forecast, f)
	}
	return forecast
}

// admission is a link's copy of the group's forecast, which requests read.
type admission struct {
	mu        sync.Mutex
	admission scheduler.Admission
}

func (a *admission) set(now time.Time, forecast []scheduler.TierForecast) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.SetForecast(now, forecast)
}

// Attempt is a request for which an entry asks the forecast.
type Attempt struct {
	Tier      scheduler.Rank
	Workspace string
	// Useful is the time for which it can usefully wait; Whole is set if that is its whole
	// objective.
	Useful time.Duration
	Whole  bool
}

// RefusedByForecast reports whether the group's last forecast refuses a request, and its
// forecast wait. Draw is a random number in [0,1). Without a recent forecast nothing is
// refused.
func (c *Client) RefusedByForecast(now time.Time, key GroupKey, a Attempt, draw float64) (time.Duration, bool) {
	c.mu.Lock()
	l, ok := c.links[key]
	c.mu.Unlock()
	if !ok {
		return 0, false
	}
	l.admission.mu.Lock()
	defer l.admission.mu.Unlock()
	return l.admission.admission.Refuse(now, a.Tier, a.Workspace, a.Useful, a.Whole, draw)
}
