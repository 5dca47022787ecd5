package instance

import "time"

// coldShare returns the fraction of the fleet that this instance and the peers it reaches make
// up. Other than for the quotas, instances without reports count for as long as they may run
// behind a partition.
func (i *Instance) coldShare(now time.Time) float64 {
	if i.groups.Cold == nil {
		return 0
	}
	return i.fleet.ReachableShare(now)
}
