package measure

// Methods of choosing a target.
const (
	byRouter = iota
	byRoundRobin
	byOutstanding
)

// Methods of setting the roles of engines.
const (
	rolesMixed   = iota // all mixed
	rolesStatic         // half prefill, half decode, constant
	rolesPlanned        // set by plan.Planner
	rolesGreedy         // set by switchGreedily
	rolesOptimal        // optimal for the true mix, changed without delay or cost
)

// policy is the combination of methods that one column of a table shows.
type policy struct {
	name  string
	pick  int
	admit bool // entries have an admission queue
	fcfs  bool // engines process requests in order of arrival, whatever their class
	roles int
}

func policies() []policy {
	return []policy{
		{name: "papayarock", pick: byRouter, admit: true, roles: rolesPlanned},
		{name: "round-robin", pick: byRoundRobin, roles: rolesMixed},
		{name: "least-out", pick: byOutstanding, roles: rolesMixed},
		{name: "static", pick: byRouter, admit: true, roles: rolesStatic},
		{name: "greedy", pick: byRouter, admit: true, roles: rolesGreedy},
		{name: "fcfs", pick: byRouter, fcfs: true, roles: rolesMixed},
		{name: "perfect", pick: byRouter, admit: true, roles: rolesOptimal},
	}
}

// size is the size of a fleet.
type size struct {
	name              string
	engines           []int // by data centre; each data centre is its own region
	services          []int // by data centre
	customers         int
	entries           int // per data centre
	callerDelayMillis int // one-way delay to callers in milliseconds
}

func sizes() []size {
	return []size{
		{name: "coast-8+3", engines: []int{3, 3, 2}, services: []int{1, 1, 1}, customers: 8, entries: 2, callerDelayMillis: 3},
		{name: "roofs-6+3", engines: []int{2, 2, 2}, services: []int{1, 1, 1}, customers: 8, entries: 2, callerDelayMillis: 1},
		{name: "one-dc-100", engines: []int{100}, services: []int{0}, customers: 40, entries: 4, callerDelayMillis: 1},
	}
}

func (s size) totalEngines() (n int) {
	for _, e := range s.engines {
		n += e
	}
	return n
}

// burstCustomer is the customer whose load rises in the burst scenario. It has half
// the weight of the largest customer.
const burstCustomer = 2

// weight is the relative share of a customer in load and in capacity. One customer in
// eight has weight 4, and most have 1.
func weight(customer int) float64 {
	return [...]float64{4, 3, 2, 1, 1, 1, 1, 1}[customer%8]
}
