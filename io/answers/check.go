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
	maxWeight      = 1000
	maxTargets     = 100_000
	maxTokenRate   = 1e9 // tokens per second
	maxPrice       = 1e9 // currency units per hour
	maxWindowTimes = 1000
	maxInterval    = 31 * 24 * time.Hour // maxWindowTimes of them fit into a time.Duration
	maxWindows     = 2000                // after repetition; the whole configuration is held by each node
	minPromise     = 10 * time.Millisecond
	maxPromise     = time.Hour
	maxDelay       = 24 * time.Hour
	maxWeightBytes = 1 << 50
)

// A name goes into headers, paths and log lines.
var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	titlePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}\p{P} ]{0,99}$`)
	pathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,200}$`)
)

// Check reads a questionnaire and lists each fault with its key, line and how
// to mend it. The answers are usable only if there is none.
func Check(text []byte) (Answers, tomlfile.Faults) {
	file := tomlfile.Parse(text)
	if faults := file.Faults(); len(faults) > 0 {
		return Answers{}, faults
	}
	r := &reader{pools: make(map[string]int), models: make(map[string]bool), dataCentres: make(map[string]bool)}
	root := file.Root()
	r.a.lines = file.Lines
	root.Require("team", "name the team")
	r.a.Team = title(root, "team")
	r.a.Application = title(root, "application")
	r.readDataCentres(root)
	r.readModels(root)
	r.readPools(root)
	r.readCustomers(root)
	r.readWork(root)
	r.readWindows(root)
	r.readSpending(root)
	root.ReportUnknownKeys()
	return r.a, file.Faults()
}

// reader collects the answers and the names that other answers refer to.
type reader struct {
	a           Answers
	dataCentres map[string]bool
	models      map[string]bool
	pools       map[string]int // index into a.Pools
}

// title reads a text for people.
func title(t *tomlfile.Table, key string) string {
	s := t.String(key)
	if s != "" && !titlePattern.MatchString(s) {
		t.AddFault(key, fmt.Sprintf("has the value %q", s), "write up to 100 letters, digits, spaces and punctuation marks")
		return ""
	}
	return s
}

// unique reads the name of a table that no earlier table of its kind has.
func unique(t *tomlfile.Table, pattern *regexp.Regexp, seen map[string]bool) string {
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
	if !root.Require("data-centre", "add a table [[data-centre]] for each place with callers or targets") {
		return
	}
	for _, t := range root.Subtables("data-centre") {
		d := DataCentre{Name: fleet.DataCentre(unique(t, namePattern, r.dataCentres))}
		region := t.String("region")
		if region == "" {
			region = string(d.Name)
		} else if !namePattern.MatchString(region) {
			t.AddFault("region", fmt.Sprintf("has the value %q", region), "write a name that matches "+namePattern.String())
		}
		d.Region = fleet.Region(region)
		t.ReportUnknownKeys()
		r.a.DataCentres = append(r.a.DataCentres, d)
	}
}

func (r *reader) readModels(root *tomlfile.Table) {
	for _, t := range root.Subtables("model") {
		m := config.Model{Name: unique(t, modelPattern, r.models)}
		t.Require("version", "write the version to load")
		if m.Version = t.String("version"); m.Version != "" && !modelPattern.MatchString(m.Version) {
			t.AddFault("version", fmt.Sprintf("has the value %q", m.Version), "write a version that matches "+modelPattern.String())
		}
		t.Require("bytes", "write the size of the weights in bytes")
		m.Bytes = uint64(t.Int("bytes", 1, maxWeightBytes, 1))
		t.ReportUnknownKeys()
		r.a.Models = append(r.a.Models, m)
	}
}

func (r *reader) readPools(root *tomlfile.Table) {
	if !root.Require("pool", "add a table [[pool]] for each group of targets") {
		return
	}
	seen := make(map[string]bool)
	for i, t := range root.Subtables("pool") {
		p := Pool{Name: unique(t, namePattern, seen)}
		r.pools[p.Name] = i
		t.Require("kind", `write "engine" or "service"`)
		p.Kind = tomlfile.Choice(t, "kind", fleet.Service, map[string]fleet.Kind{"engine": fleet.Engine, "service": fleet.Service})
		p.Model = t.String("model")
		r.checkModel(t, p)
		p.Targets = r.readTargets(t)
		p.Least = int(t.Int("least", 0, maxTargets, int64(p.Total())))
		p.Most = int(t.Int("most", 0, maxTargets, int64(p.Total())))
		p.PricePerHour = t.Float("price-per-hour", 0, maxPrice, 0)
		if p.Least > p.Most || p.Total() > p.Most {
			t.AddFault("most", fmt.Sprintf("%d targets stand and at least %d run, but at most %d may", p.Total(), p.Least, p.Most),
				"raise most or lower the others")
		}
		t.ReportUnknownKeys()
		r.a.Pools = append(r.a.Pools, p)
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
	if !t.Require("targets", "write how many stand in each data centre, such as {klang = 2}") {
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
		c := Customer{Customer: config.Customer{Name: fleet.Customer(unique(t, namePattern, seen))}}
		c.Weight = uint32(t.Int("weight", 1, maxWeight, 1))
		c.TokensPerSecond = t.Float("tokens-per-second", 0, maxTokenRate, 0)
		c.RequestsPerSec = t.Float("requests-per-second", 0, maxTokenRate, 0)
		c.Large = t.Bool("large")
		for i, name := range t.Strings("callers") {
			if !r.dataCentres[name] {
				t.AddFault(fmt.Sprintf("callers[%d]", i), fmt.Sprintf("no data centre is named %q", name), "add a table [[data-centre]] with this name")
			}
			c.Callers = append(c.Callers, fleet.DataCentre(name))
		}
		t.ReportUnknownKeys()
		r.a.Customers = append(r.a.Customers, c)
	}
}

func (r *reader) readWork(root *tomlfile.Table) {
	if !root.Require("work", "add a table [[work]] for each kind of request") {
		return
	}
	seen, paths := make(map[string]bool), make(map[string]bool)
	served, keyed := make(map[string]bool), false
	for _, t := range root.Subtables("work") {
		w := Work{Name: unique(t, namePattern, seen)}
		w.Path = readPath(t, paths)
		r.readService(t, &w)
		w.Class = tomlfile.Choice(t, "urgency", fleet.Patient, classes())
		t.Require("urgency", `write "urgent" or "patient"`)
		readPromise(t, &w)
		readIdempotent(t, &w)
		served[w.Pool] = true
		keyed = keyed || !w.Open
		t.ReportUnknownKeys()
		r.a.Work = append(r.a.Work, w)
	}
	if keyed && len(r.a.Customers) == 0 {
		root.AddFault("customer", "there is no customer, but work that is not open", "add a table [[customer]], or write open = true")
	}
	for i, t := range root.Subtables("pool") {
		if !served[r.a.Pools[i].Name] {
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
		t.AddFault("path", fmt.Sprintf("has the value %q", p), `write a path without a closing slash, such as "/orders"`)
	case seen[p]:
		t.AddFault("path", fmt.Sprintf("%q is used twice", p), "give each kind of work a path of its own")
	}
	seen[p] = true
	return p
}

// readService reads by which pool the work is served.
func (r *reader) readService(t *tomlfile.Table, w *Work) {
	if !t.Require("pool", "name the pool that serves it") {
		return
	}
	w.Pool = t.String("pool")
	i, ok := r.pools[w.Pool]
	if !ok {
		t.AddFault("pool", fmt.Sprintf("no pool is named %q", w.Pool), "add a table [[pool]] with this name")
		return
	}
	if r.a.Pools[i].Kind == fleet.Engine {
		w.Protocol = config.Language
	}
}

func readPromise(t *tomlfile.Table, w *Work) {
	t.Require("promise", `write the time within which an answer must be complete, such as "2s"`)
	w.Promise = t.Duration("promise", minPromise, maxPromise, maxPromise)
	w.FirstToken = t.Duration("first-token", minPromise, maxPromise, 0)
	switch {
	case w.FirstToken > w.Promise:
		t.AddFault("first-token", fmt.Sprintf("%s is later than the whole answer (%s)", w.FirstToken, w.Promise), "write a shorter time than promise")
	case w.FirstToken > 0 && w.Protocol != config.Language:
		t.AddFault("first-token", "a plain service has no tokens", "remove it")
	}
}

// readIdempotent has no default for services: a wrong one would repeat work
// that must run once.
func readIdempotent(t *tomlfile.Table, w *Work) {
	w.Open = t.Bool("open")
	otherwise := Never
	if w.Protocol == config.Language {
		otherwise = Always
	} else {
		t.Require("idempotent", `write "never", "reads" or "always"`)
	}
	w.Idempotent = tomlfile.Choice(t, "idempotent", otherwise, map[string]Repeat{"never": Never, "reads": Reads, "always": Always})
	if w.Open && w.Idempotent != Always {
		t.AddFault("open", "work that must not be repeated is claimed for a customer, and open work has none",
			`write open = false or idempotent = "always"`)
	}
}

func (r *reader) readWindows(root *tomlfile.Table) {
	urgent := slices.ContainsFunc(r.a.Work, func(w Work) bool { return w.Class == fleet.Urgent })
	total := 0
	names, owner := make(map[string]bool), make(map[string]string)
	for _, t := range root.Subtables("window") {
		w := readWindow(t, names)
		if !urgent {
			t.AddFault("", "no work is urgent, so nothing uses the reserve", "remove the window or make work urgent")
		}
		if total += w.Times; total > maxWindows {
			t.AddFault("times", fmt.Sprintf("there are %d windows so far", total), fmt.Sprintf("keep the total below %d", maxWindows))
		}
		for _, o := range w.repeat() {
			if other, ok := owner[o.Name]; ok && other != w.Name {
				t.AddFault("name", fmt.Sprintf("the occurrence %q is one of window %q, too", o.Name, other), "rename one of them")
				break
			}
			owner[o.Name] = w.Name
		}
		t.ReportUnknownKeys()
		r.a.Windows = append(r.a.Windows, w)
	}
}

func readWindow(t *tomlfile.Table, names map[string]bool) Window {
	w := Window{Times: int(t.Int("times", 1, maxWindowTimes, 1))}
	w.Name = unique(t, titlePattern, names)
	w.Opens, w.Closes = t.Time("opens"), t.Time("closes")
	if t.Require("opens", "write when it opens") && t.Require("closes", "write when it closes") && !w.Closes.After(w.Opens) {
		t.AddFault("closes", "is not after opens", "write a later time")
	}
	t.Require("reserved", "write the share of capacity kept for urgent work, such as 0.5")
	w.Reserved = t.Float("reserved", 0, 1, 0)
	w.Every = t.Duration("every", time.Minute, maxInterval, 0)
	if w.Times > 1 && w.Every < w.Closes.Sub(w.Opens) {
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
	s := &r.a.Spending
	s.HourlyCap = t.Float("hourly-cap", 0, maxPrice, 0)
	t.Require("start-delay", `write the time from ordering a target to its first request, such as "4m"`)
	s.StartDelay = t.Duration("start-delay", 0, maxDelay, 0)
	s.RoleChange = t.Duration("role-change", 0, maxDelay, 0)
	least := 0.0
	for _, p := range r.a.Pools {
		least += float64(p.Least) * p.PricePerHour
	}
	if s.HourlyCap > 0 && least > s.HourlyCap {
		t.AddFault("hourly-cap", fmt.Sprintf("the targets that always run cost %g an hour, more than the cap of %g", least, s.HourlyCap),
			"raise the cap or lower least of a pool")
	}
	t.ReportUnknownKeys()
}
