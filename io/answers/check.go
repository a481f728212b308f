package answers

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

const (
	maxCustomerWeight = 1000
	maxTargets        = 100_000
	maxRate           = 1e9                 // tokens or requests per second
	maxPrice          = 1e9                 // currency units per hour
	maxOccurrences    = 1000                // of one window
	maxInterval       = 31 * 24 * time.Hour // maxOccurrences intervals fit into a time.Duration
	maxWindows        = 2000                // in total, counting each occurrence, since every node holds the whole configuration
	minPromise        = 10 * time.Millisecond
	maxPromise        = time.Hour
	maxDelay          = 24 * time.Hour
	maxModelBytes     = 1 << 50 // of the weights
)

// The patterns exclude line breaks and other control characters, since names are
// written to headers, paths and log lines.
var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	titlePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}\p{P} ]{0,99}$`)
	pathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,200}$`)
)

// Check parses and validates a questionnaire. Each fault states its key, its line
// and a fix. The answers are valid only if there are no faults.
func Check(text []byte) (Answers, tomlfile.Faults) {
	file := tomlfile.Parse(text)
	if faults := file.Faults(); len(faults) > 0 {
		return Answers{}, faults
	}
	r := &reader{pools: make(map[string]int), models: make(map[string]bool), dataCentres: make(map[string]bool)}
	root := file.Root()
	r.answers.lines = file.Lines
	root.Require("team", "name the team")
	r.answers.Team = readTitle(root, "team")
	r.answers.Application = readTitle(root, "application")
	r.readDataCentres(root)
	r.readModels(root)
	r.readPools(root)
	r.readCustomers(root)
	r.readWorkloads(root)
	r.readWindows(root)
	r.readSpending(root)
	root.ReportUnknownKeys()
	return r.answers, file.Faults()
}

// reader collects the answers and the names that later answers may refer to.
type reader struct {
	answers     Answers
	dataCentres map[string]bool
	models      map[string]bool
	pools       map[string]int // index into answers.Pools
}

// readTitle reads a display name.
func readTitle(t *tomlfile.Table, key string) string {
	s := t.String(key)
	if s != "" && !titlePattern.MatchString(s) {
		t.AddFault(key, fmt.Sprintf("has the value %q", s), "write up to 100 letters, digits, spaces and punctuation marks")
		return ""
	}
	return s
}

// readName reads the name of a table, adds it to seen and returns it. It reports a fault
// for a name that does not match pattern or has been seen, but returns that too.
func readName(t *tomlfile.Table, pattern *regexp.Regexp, seen map[string]bool) string {
	if !t.Require("name", "give it a name") {
		return ""
	}
	name, ok := t.LookupString("name")
	switch {
	case !ok:
		return ""
	case !pattern.MatchString(name):
		t.AddFault("name", fmt.Sprintf("has the value %q", name), "write a name that matches "+pattern.String())
	case seen[name]:
		t.AddFault("name", fmt.Sprintf("%q is used twice", name), "give each a name of its own")
	}
	seen[name] = true
	return name
}

func (r *reader) readDataCentres(root *tomlfile.Table) {
	if !root.Require("data-centre", "add a table [[data-centre]] for each data centre with callers or targets") {
		return
	}
	for _, t := range root.Subtables("data-centre") {
		d := DataCentre{Name: fleet.DataCentre(readName(t, namePattern, r.dataCentres))}
		region := t.String("region")
		if region == "" {
			region = string(d.Name)
		} else if !namePattern.MatchString(region) {
			t.AddFault("region", fmt.Sprintf("has the value %q", region), "write a name that matches "+namePattern.String())
		}
		d.Region = fleet.Region(region)
		t.ReportUnknownKeys()
		r.answers.DataCentres = append(r.answers.DataCentres, d)
	}
}

func (r *reader) readModels(root *tomlfile.Table) {
	for _, t := range root.Subtables("model") {
		m := config.Model{Name: readName(t, modelPattern, r.models)}
		t.Require("version", "write the version to load")
		if m.Version = t.String("version"); m.Version != "" && !modelPattern.MatchString(m.Version) {
			t.AddFault("version", fmt.Sprintf("has the value %q", m.Version), "write a version that matches "+modelPattern.String())
		}
		t.Require("bytes", "write the size of the weights in bytes")
		m.Bytes = uint64(t.Int("bytes", 1, maxModelBytes, 1))
		t.ReportUnknownKeys()
		r.answers.Models = append(r.answers.Models, m)
	}
}

func (r *reader) readPools(root *tomlfile.Table) {
	if !root.Require("pool", "add a table [[pool]] for each group of targets") {
		return
	}
	seen := make(map[string]bool)
	for i, t := range root.Subtables("pool") {
		p := Pool{Name: readName(t, namePattern, seen)}
		r.pools[p.Name] = i
		t.Require("kind", `write "engine" or "service"`)
		p.Kind = tomlfile.Choice(t, "kind", fleet.Service, map[string]fleet.Kind{"engine": fleet.Engine, "service": fleet.Service})
		p.Model = t.String("model")
		r.checkModel(t, p)
		p.Targets = r.readTargets(t)
		p.MinTargets = int(t.Int("least", 0, maxTargets, int64(p.Total())))
		p.MaxTargets = int(t.Int("most", 0, maxTargets, int64(p.Total())))
		p.PricePerHour = t.Float("price-per-hour", 0, maxPrice, 0)
		if p.MinTargets > p.MaxTargets || p.Total() > p.MaxTargets {
			t.AddFault("most", fmt.Sprintf("there are %d targets and at least %d run, but at most %d may run", p.Total(), p.MinTargets, p.MaxTargets),
				"raise most, or lower targets or least")
		}
		t.ReportUnknownKeys()
		r.answers.Pools = append(r.answers.Pools, p)
	}
}

func (r *reader) checkModel(t *tomlfile.Table, p Pool) {
	switch {
	case p.Kind == fleet.Service && p.Model != "":
		t.AddFault("model", "a service loads no model", `remove it, or write kind = "engine"`)
	case p.Kind == fleet.Engine && p.Model == "":
		t.AddFault("model", "is missing", "name the model the engines load")
	case p.Kind == fleet.Engine && !r.models[p.Model]:
		t.AddFault("model", fmt.Sprintf("no model is named %q", p.Model), "add a table [[model]] with this name")
	}
}

func (r *reader) readTargets(t *tomlfile.Table) map[fleet.DataCentre]int {
	targets := make(map[fleet.DataCentre]int)
	if !t.Require("targets", "write the number of targets in each data centre, such as {klang = 2}") {
		return targets
	}
	sub, ok := t.Subtable("targets")
	if !ok {
		return targets
	}
	for _, name := range sub.AllKeys() {
		if !r.dataCentres[name] {
			sub.AddFault(name, "no data centre has this name", "add a table [[data-centre]] with this name")
		}
		targets[fleet.DataCentre(name)] = int(sub.Int(name, 0, maxTargets, 0))
	}
	return targets
}

func (r *reader) readCustomers(root *tomlfile.Table) {
	seen := make(map[string]bool)
	for _, t := range root.Subtables("customer") {
		c := Customer{Customer: config.Customer{Name: fleet.Customer(readName(t, namePattern, seen))}}
		c.Weight = uint32(t.Int("weight", 1, maxCustomerWeight, 1))
		c.TokensPerSecond = t.Float("tokens-per-second", 0, maxRate, 0)
		c.RequestsPerSec = t.Float("requests-per-second", 0, maxRate, 0)
		c.Large = t.Bool("large")
		for i, name := range t.Strings("callers") {
			if !r.dataCentres[name] {
				t.AddFault(fmt.Sprintf("callers[%d]", i), fmt.Sprintf("no data centre is named %q", name), "add a table [[data-centre]] with this name")
			}
			c.CallerDataCentres = append(c.CallerDataCentres, fleet.DataCentre(name))
		}
		t.ReportUnknownKeys()
		r.answers.Customers = append(r.answers.Customers, c)
	}
}

func (r *reader) readWorkloads(root *tomlfile.Table) {
	if !root.Require("work", "add a table [[work]] for each kind of request") {
		return
	}
	seen, paths := make(map[string]bool), make(map[string]bool)
	usedPools, needsCustomer := make(map[string]bool), false
	for _, t := range root.Subtables("work") {
		w := Workload{Name: readName(t, namePattern, seen)}
		w.Path = readPath(t, paths)
		r.readPool(t, &w)
		w.Class = tomlfile.Choice(t, "urgency", fleet.Patient, classesByName())
		t.Require("urgency", `write "urgent" or "patient"`)
		readPromise(t, &w)
		readIdempotent(t, &w)
		usedPools[w.Pool] = true
		needsCustomer = needsCustomer || !w.Open
		t.ReportUnknownKeys()
		r.answers.Workloads = append(r.answers.Workloads, w)
	}
	if needsCustomer && len(r.answers.Customers) == 0 {
		root.AddFault("customer", "no customer is defined, but some work is not open", "add a table [[customer]], or write open = true")
	}
	for i, t := range root.Subtables("pool") {
		if !usedPools[r.answers.Pools[i].Name] {
			t.AddFault("name", "no work uses this pool", "name it in a table [[work]] or remove it")
		}
	}
}

func readPath(t *tomlfile.Table, seen map[string]bool) string {
	if !t.Require("path", `write the path prefix callers use, such as "/orders"`) {
		return ""
	}
	p, ok := t.LookupString("path")
	switch {
	case !ok:
		return ""
	case !pathPattern.MatchString(p) || path.Clean(p) != p:
		t.AddFault("path", fmt.Sprintf("has the value %q", p), `write a path without a trailing slash, such as "/orders"`)
	case seen[p]:
		t.AddFault("path", fmt.Sprintf("%q is used twice", p), "give each kind of work a path of its own")
	}
	seen[p] = true
	return p
}

// readPool reads the pool of a workload and derives the protocol from the kind of the
// pool.
func (r *reader) readPool(t *tomlfile.Table, w *Workload) {
	if !t.Require("pool", "name the pool that serves it") {
		return
	}
	w.Pool = t.String("pool")
	i, ok := r.pools[w.Pool]
	if !ok {
		t.AddFault("pool", fmt.Sprintf("no pool is named %q", w.Pool), "add a table [[pool]] with this name")
		return
	}
	if r.answers.Pools[i].Kind == fleet.Engine {
		w.Protocol = config.Language
	}
}

func readPromise(t *tomlfile.Table, w *Workload) {
	t.Require("promise", `write the time within which a response must be complete, such as "2s"`)
	w.Promise = t.Duration("promise", minPromise, maxPromise, maxPromise)
	w.FirstToken = t.Duration("first-token", minPromise, maxPromise, 0)
	switch {
	case w.FirstToken > w.Promise:
		t.AddFault("first-token", fmt.Sprintf("%s is longer than promise (%s)", w.FirstToken, w.Promise), "write a shorter time than promise")
	case w.FirstToken > 0 && w.Protocol != config.Language:
		t.AddFault("first-token", "a service returns no tokens", "remove it")
	}
}

// readIdempotent reads which requests may run more than once. Services have no default,
// since a wrong one would allow a second run of a request that must run only once.
func readIdempotent(t *tomlfile.Table, w *Workload) {
	w.Open = t.Bool("open")
	defaultValue := IdempotentNever
	if w.Protocol == config.Language {
		defaultValue = IdempotentAlways
	} else {
		t.Require("idempotent", `write "never", "reads" or "always"`)
	}
	w.Idempotent = tomlfile.Choice(t, "idempotent", defaultValue, map[string]Idempotency{"never": IdempotentNever, "reads": IdempotentReads, "always": IdempotentAlways})
	if w.Open && w.Idempotent != IdempotentAlways {
		t.AddFault("open", "requests that may run only once are recorded per customer, and open work has no customer",
			`write open = false or idempotent = "always"`)
	}
}

func (r *reader) readWindows(root *tomlfile.Table) {
	urgent := slices.ContainsFunc(r.answers.Workloads, func(w Workload) bool { return w.Class == fleet.Urgent })
	total := 0
	names, windowByOccurrence := make(map[string]bool), make(map[string]string)
	for _, t := range root.Subtables("window") {
		w := readWindow(t, names)
		if !urgent {
			t.AddFault("", "no work is urgent, so no request can use the reserved capacity", "remove the window or make work urgent")
		}
		if total += w.Occurrences; total > maxWindows {
			t.AddFault("times", fmt.Sprintf("there are %d windows up to this one, counting each occurrence", total), fmt.Sprintf("reduce the total to at most %d", maxWindows))
		}
		for _, o := range w.occurrences() {
			if other, ok := windowByOccurrence[o.Name]; ok && other != w.Name {
				t.AddFault("name", fmt.Sprintf("occurrence %q has the same name as an occurrence of window %q", o.Name, other), "rename one of them")
				break
			}
			windowByOccurrence[o.Name] = w.Name
		}
		t.ReportUnknownKeys()
		r.answers.Windows = append(r.answers.Windows, w)
	}
}

func readWindow(t *tomlfile.Table, names map[string]bool) Window {
	w := Window{Occurrences: int(t.Int("times", 1, maxOccurrences, 1))}
	w.Name = readName(t, titlePattern, names)
	w.Opens, w.Closes = t.Time("opens"), t.Time("closes")
	if t.Require("opens", "write when it opens") && t.Require("closes", "write when it closes") && !w.Closes.After(w.Opens) {
		t.AddFault("closes", "is not after opens", "write a later time")
	}
	t.Require("reserved", "write the share of capacity kept for urgent work, such as 0.5")
	w.Reserved = t.Float("reserved", 0, 1, 0)
	w.Interval = t.Duration("every", time.Minute, maxInterval, 0)
	if w.Occurrences > 1 && w.Interval < w.Closes.Sub(w.Opens) {
		t.AddFault("every", "the window repeats before it closes", `write a longer interval, such as "12h25m"`)
	}
	return w
}

func (r *reader) readSpending(root *tomlfile.Table) {
	if !root.Require("spending", "add a table [spending]") {
		return
	}
	t, ok := root.Subtable("spending")
	if !ok {
		return
	}
	s := &r.answers.Spending
	s.HourlyCap = t.Float("hourly-cap", 0, maxPrice, 0)
	t.Require("start-delay", `write the time from ordering a target to its first request, such as "4m"`)
	s.StartDelay = t.Duration("start-delay", 0, maxDelay, 0)
	s.RoleChangeDelay = t.Duration("role-change", 0, maxDelay, 0)
	minCost := 0.0
	for _, p := range r.answers.Pools {
		minCost += float64(p.MinTargets) * p.PricePerHour
	}
	if s.HourlyCap > 0 && minCost > s.HourlyCap {
		t.AddFault("hourly-cap", fmt.Sprintf("the targets that always run cost %g an hour, more than the cap of %g", minCost, s.HourlyCap),
			"raise hourly-cap, or lower least of a pool")
	}
	t.ReportUnknownKeys()
}

// classesByName returns the priority classes by their names in TOML files.
func classesByName() map[string]fleet.Class {
	return map[string]fleet.Class{fleet.Patient.String(): fleet.Patient, fleet.Urgent.String(): fleet.Urgent}
}
