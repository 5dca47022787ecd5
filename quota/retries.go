package quota

import (
	"maps"
	"sync"
)

// RetryBudgets holds the retry budget of each service. Each first send earns a
// fraction of a retry. The instances need not exchange messages to stay within the
// fleet's budget, because each holds its part of the reserve.
type RetryBudgets struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	// balances holds the number of retries in the budget of each service.
	balances map[string]float64
}

// NewRetryBudgets returns budgets that earn ratio retries for each first send and hold
// at most reserve.
func NewRetryBudgets(ratio, reserve float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, reserve: reserve, balances: make(map[string]float64)}
}

// Deposit records a first send to the service.
func (r *RetryBudgets) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balances[service] = min(r.level(service)+r.ratio, r.reserve)
}

// Withdraw takes one retry from the service's budget and reports whether it had one.
func (r *RetryBudgets) Withdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	level := r.level(service)
	if level < 1 {
		return false
	}
	r.balances[service] = level - 1
	return true
}

// Levels returns the number of retries that each service's budget holds.
func (r *RetryBudgets) Levels() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.balances)
}

func (r *RetryBudgets) level(service string) float64 {
	level, ok := r.balances[service]
	if !ok {
		return r.reserve
	}
	return level
}

// SetLimits changes the ratio and the reserve.
func (r *RetryBudgets) SetLimits(ratio, reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.reserve = ratio, reserve
}
