package plan

// OptimalRoles returns the number of engines per role, indexed by fleet.Role, that
// maximises the goodput of n engines under a constant offered load, where urgent
// is the fraction of urgent work, 0 to 1. The class of r and the cost of role
// changes are ignored.
func OptimalRoles(n int, r Rate, urgent float64, o Options) [3]int {
	p := New(o)
	s := p.poolSpeeds(r.Pool)
	offered := load{prefill: r.Prefill, decode: r.Decode, requests: r.Requests, urgent: urgent}
	best, value := [3]int{n, 0, 0}, -1.0
	for prefill := 0; prefill <= n; prefill++ {
		for decode := 0; prefill+decode <= n; decode++ {
			counts := roleCounts{float64(n - prefill - decode), float64(prefill), float64(decode)}
			if goodput := s.goodput(counts, offered); goodput > value+1e-9 && (servesBothPhases(counts) || n == 0) {
				best, value = [3]int{n - prefill - decode, prefill, decode}, goodput
			}
		}
	}
	return best
}
