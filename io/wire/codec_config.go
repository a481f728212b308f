package wire

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

func encodeDocument(d config.Document) *ConfigDocument {
	return &ConfigDocument{
		Customers: mapped(d.Customers, encodeCustomer),
		General: encodeGeneral(config.General{
			Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget,
		}),
	}
}

func (r *reader) document(m *ConfigDocument) config.Document {
	g := r.general(m.GetGeneral())
	return config.Document{
		Team: g.Team, Routes: g.Routes, Models: g.Models, PoolModel: g.PoolModel, Windows: g.Windows, Budget: g.Budget,
		Customers: mapped(m.GetCustomers(), decodeCustomer),
	}
}

func encodeCustomer(c config.Customer) *ConfigCustomer {
	return &ConfigCustomer{
		Name: string(c.Name), Weight: c.Weight, Large: c.Large,
		TokensPerSecond: c.TokensPerSecond, RequestsPerSecond: c.RequestsPerSec,
	}
}

func decodeCustomer(m *ConfigCustomer) config.Customer {
	return config.Customer{
		Name: fleet.Customer(m.GetName()), Weight: m.GetWeight(), Large: m.GetLarge(),
		TokensPerSecond: m.GetTokensPerSecond(), RequestsPerSec: m.GetRequestsPerSecond(),
	}
}

func encodeGeneral(g config.General) *ConfigGeneral {
	return &ConfigGeneral{
		Team:      g.Team,
		Routes:    mapped(g.Routes, encodeRoute),
		Models:    mapped(g.Models, encodeModel),
		PoolModel: g.PoolModel,
		Windows:   mapped(g.Windows, encodeWindow),
		Budget:    encodeBudget(g.Budget),
	}
}

func (r *reader) general(m *ConfigGeneral) config.General {
	return config.General{
		Team:      m.GetTeam(),
		Routes:    mapped(m.GetRoutes(), r.route),
		Models:    mapped(m.GetModels(), decodeModel),
		PoolModel: mappedValues(m.GetPoolModel(), func(s string) string { return s }),
		Windows:   mapped(m.GetWindows(), decodeWindow),
		Budget:    decodeBudget(m.GetBudget()),
	}
}

func encodeRoute(x config.Route) *ConfigRoute {
	return &ConfigRoute{
		Name: x.Name, Prefix: x.Prefix, Protocol: uint32(x.Protocol), Pool: x.Pool, Class: uint32(x.Class),
		Open: x.Open, Idempotent: x.Idempotent, SafeReads: x.SafeReads,
		Promise: int64(x.Promise), FirstToken: int64(x.FirstToken),
	}
}

func (r *reader) route(m *ConfigRoute) config.Route {
	return config.Route{
		Name: m.GetName(), Prefix: m.GetPrefix(), Pool: m.GetPool(),
		Protocol: enum(r, "protocol", m.GetProtocol(), config.Language),
		Class:    enum(r, "class", m.GetClass(), fleet.Urgent),
		Open:     m.GetOpen(), Idempotent: m.GetIdempotent(), SafeReads: m.GetSafeReads(),
		Promise: time.Duration(m.GetPromise()), FirstToken: time.Duration(m.GetFirstToken()),
	}
}

func encodeModel(x config.Model) *ConfigModel {
	return &ConfigModel{Name: x.Name, Version: x.Version, Bytes: x.Bytes}
}

func decodeModel(m *ConfigModel) config.Model {
	return config.Model{Name: m.GetName(), Version: m.GetVersion(), Bytes: m.GetBytes()}
}

func encodeWindow(x config.Window) *ConfigWindow {
	return &ConfigWindow{Name: x.Name, Opens: nanos(x.Opens), Closes: nanos(x.Closes), Reserved: x.Reserved}
}

func decodeWindow(m *ConfigWindow) config.Window {
	return config.Window{
		Name: m.GetName(), Opens: fromNanos(m.GetOpens()), Closes: fromNanos(m.GetCloses()),
		Reserved: m.GetReserved(),
	}
}

func encodeBudget(x config.Budget) *ConfigBudget {
	return &ConfigBudget{
		HourlyCap: x.HourlyCap, PricePerHour: x.PricePerHour,
		StartDelay: int64(x.StartDelay), RoleChangeDelay: int64(x.RoleChangeDelay),
		MinimumPerPool: mappedValues(x.MinimumPerPool, func(n int) int64 { return int64(n) }),
		MaximumPerPool: mappedValues(x.MaximumPerPool, func(n int) int64 { return int64(n) }),
	}
}

func decodeBudget(m *ConfigBudget) config.Budget {
	return config.Budget{
		HourlyCap:    m.GetHourlyCap(),
		PricePerHour: mappedValues(m.GetPricePerHour(), func(f float64) float64 { return f }),
		StartDelay:   time.Duration(m.GetStartDelay()), RoleChangeDelay: time.Duration(m.GetRoleChangeDelay()),
		MinimumPerPool: mappedValues(m.GetMinimumPerPool(), func(n int64) int { return int(n) }),
		MaximumPerPool: mappedValues(m.GetMaximumPerPool(), func(n int64) int { return int(n) }),
	}
}

func encodeKey(k config.Key) *ConfigKey {
	return &ConfigKey{Id: k.ID, Digest: k.Digest[:], Customer: string(k.Customer), Issued: nanos(k.Issued)}
}

func (r *reader) key(m *ConfigKey) config.Key {
	return config.Key{
		ID: m.GetId(), Digest: r.bytes32("key digest", m.GetDigest()),
		Customer: fleet.Customer(m.GetCustomer()), Issued: fromNanos(m.GetIssued()),
	}
}

func encodeCut(c config.InterruptedKey) *ConfigCut { return &ConfigCut{Id: c.ID, Revision: c.Revision} }

func decodeCut(m *ConfigCut) config.InterruptedKey {
	return config.InterruptedKey{ID: m.GetId(), Revision: m.GetRevision()}
}

func encodeRevocation(x config.Revocation) *ConfigRevocation {
	return &ConfigRevocation{Host: string(x.Host), IssuedBefore: nanos(x.IssuedBefore)}
}

func decodeRevocation(m *ConfigRevocation) config.Revocation {
	return config.Revocation{Host: fleet.Host(m.GetHost()), IssuedBefore: fromNanos(m.GetIssuedBefore())}
}

func encodeTarget(t fleet.Target) *ConfigTarget {
	return &ConfigTarget{
		Name: string(t.Name), Host: string(t.Host), Region: string(t.Region), DataCentre: string(t.DataCentre),
		Agent: addrPortBytes(t.Agent), Incarnation: uint64(t.Incarnation), Kind: uint32(t.Kind), Pool: t.Pool,
		Role: uint32(t.Role), Phase: uint32(t.Phase), PhaseUntil: nanos(t.PhaseUntil),
		ChecksFencing: t.ChecksFencing, Slots: t.Slots,
	}
}

func (r *reader) target(m *ConfigTarget) fleet.Target {
	return fleet.Target{
		Name: fleet.TargetName(m.GetName()), Host: fleet.Host(m.GetHost()),
		Region: fleet.Region(m.GetRegion()), DataCentre: fleet.DataCentre(m.GetDataCentre()),
		Agent: r.addrPort(m.GetAgent()), Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Kind: enum(r, "target kind", m.GetKind(), fleet.Engine), Pool: m.GetPool(),
		Role:       enum(r, "role", m.GetRole(), fleet.Decode),
		Phase:      enum(r, "phase", m.GetPhase(), fleet.Unknown),
		PhaseUntil: fromNanos(m.GetPhaseUntil()), ChecksFencing: m.GetChecksFencing(), Slots: m.GetSlots(),
	}
}

func encodeSnapshot(s config.Snapshot) *ConfigSnapshot {
	return &ConfigSnapshot{
		Revision: s.Revision, Document: encodeDocument(s.Document),
		Keys: mapped(s.Keys, encodeKey), Targets: mapped(s.Targets, encodeTarget), Cut: mapped(s.InterruptedKeys, encodeCut),
		Revoked: mapped(s.Revoked, encodeRevocation),
	}
}

func (r *reader) snapshot(m *ConfigSnapshot) config.Snapshot {
	return config.Snapshot{
		Revision: m.GetRevision(), Document: r.document(m.GetDocument()),
		Keys: mapped(m.GetKeys(), r.key), Targets: mapped(m.GetTargets(), r.target), InterruptedKeys: mapped(m.GetCut(), decodeCut),
		Revoked: mapped(m.GetRevoked(), decodeRevocation),
	}
}

func encodeDelta(d config.Delta) *ConfigDelta {
	m := &ConfigDelta{
		From: d.From, To: d.To,
		RemoveCustomers: mapped(d.RemoveCustomers, text[fleet.Customer]),
		PutCustomers:    mapped(d.PutCustomers, encodeCustomer),
		RemoveKeys:      d.RemoveKeys,
		PutKeys:         mapped(d.PutKeys, encodeKey),
		Cut:             mapped(d.InterruptedKeys, encodeCut),
		RemoveTargets:   mapped(d.RemoveTargets, text[fleet.TargetName]),
		PutTargets:      mapped(d.PutTargets, encodeTarget),
		Revoked:         mapped(d.Revoked, encodeRevocation),
	}
	if d.General != nil {
		m.General = encodeGeneral(*d.General)
	}
	return m
}

func (r *reader) delta(m *ConfigDelta) config.Delta {
	d := config.Delta{
		From: m.GetFrom(), To: m.GetTo(),
		RemoveCustomers: mapped(m.GetRemoveCustomers(), customerName),
		PutCustomers:    mapped(m.GetPutCustomers(), decodeCustomer),
		RemoveKeys:      m.GetRemoveKeys(),
		PutKeys:         mapped(m.GetPutKeys(), r.key),
		InterruptedKeys: mapped(m.GetCut(), decodeCut),
		RemoveTargets:   mapped(m.GetRemoveTargets(), targetName),
		PutTargets:      mapped(m.GetPutTargets(), r.target),
		Revoked:         mapped(m.GetRevoked(), decodeRevocation),
	}
	if m.GetGeneral() != nil {
		g := r.general(m.GetGeneral())
		d.General = &g
	}
	return d
}
