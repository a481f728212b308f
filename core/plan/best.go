package plan

// Best returns how many of n engines should have each role, indexed by
// fleet.Role, for an offered load that lasts and when changes cost nothing.
func Best(n int, r Rate, urgent float64, o Options) [3]int {
	p := New(o)
	s := p.speed(r.Pool)
	l := load{prefill: r.Prefill, decode: r.Decode, requests: r.Requests, urgent: urgent}
	best, value := [3]int{n, 0, 0}, -1.0
	for a := 0; a <= n; a++ {
		for b := 0; a+b <= n; b++ {
			c := split{float64(n - a - b), float64(a), float64(b)}
			if v := s.value(c, l); v > value+1e-9 && (whole(c) || n == 0) {
				best, value = [3]int{n - a - b, a, b}, v
			}
		}
	}
	return best
}
