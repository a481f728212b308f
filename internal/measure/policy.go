package measure

// Ways to choose a target.
const (
	byRouter = iota
	byTurn
	byOutstanding
)

// Ways to set the roles of engines.
const (
	rolesMixed = iota // all mixed
	rolesSplit        // half prefill, half decode
	rolesPlanned
	rolesGreedy
	rolesPerfect // the best roles for the true mix, changed at once and at no cost
)

// policy is a column of a table.
type policy struct {
	name  string
	pick  int
	admit bool
	fifo  bool // engines ignore classes
	roles int
}

func policies() []policy {
	return []policy{
		{name: "papayarock", pick: byRouter, admit: true, roles: rolesPlanned},
		{name: "round-robin", pick: byTurn, roles: rolesMixed},
		{name: "least-out", pick: byOutstanding, roles: rolesMixed},
		{name: "static", pick: byRouter, admit: true, roles: rolesSplit},
		{name: "greedy", pick: byRouter, admit: true, roles: rolesGreedy},
		{name: "fcfs", pick: byRouter, fifo: true, roles: rolesMixed},
		{name: "perfect", pick: byRouter, admit: true, roles: rolesPerfect},
	}
}

// size is a fleet.
type size struct {
	name      string
	engines   []int // by data centre; each is a region
	services  []int
	customers int
	entries   int // per data centre
	client    int // one-way delay to callers in milliseconds
}

func sizes() []size {
	return []size{
		{name: "coast-8+3", engines: []int{3, 3, 2}, services: []int{1, 1, 1}, customers: 8, entries: 2, client: 3},
		{name: "roofs-6+3", engines: []int{2, 2, 2}, services: []int{1, 1, 1}, customers: 8, entries: 2, client: 1},
		{name: "one-dc-100", engines: []int{100}, services: []int{0}, customers: 40, entries: 4, client: 1},
	}
}

func (s size) total() (n int) {
	for _, e := range s.engines {
		n += e
	}
	return n
}

// burstCustomer has an eighth of the load of the largest.
const burstCustomer = 2

// weight is the share of a customer in load and in capacity; a few are large.
func weight(customer int) float64 {
	return [...]float64{4, 3, 2, 1, 1, 1, 1, 1}[customer%8]
}
