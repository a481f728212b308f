package wire

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

func encodeDocument(d config.Document) *ConfigDocument {
	return &ConfigDocument{
		Customers: mapSlice(d.Customers, encodeCustomer),
		General: encodeGeneral(config.General{
			Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget,
		}),
	}
}

func (dec *decoder) document(m *ConfigDocument) config.Document {
	g := dec.general(m.GetGeneral())
	return config.Document{
		Team: g.Team, Routes: g.Routes, Models: g.Models, PoolModel: g.PoolModel, Windows: g.Windows, Budget: g.Budget,
		Customers: mapSlice(m.GetCustomers(), decodeCustomer),
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
		Routes:    mapSlice(g.Routes, encodeRoute),
		Models:    mapSlice(g.Models, encodeModel),
		PoolModel: g.PoolModel,
		Windows:   mapSlice(g.Windows, encodeWindow),
		Budget:    encodeBudget(g.Budget),
	}
}

func (dec *decoder) general(m *ConfigGeneral) config.General {
	return config.General{
		Team:      m.GetTeam(),
		Routes:    mapSlice(m.GetRoutes(), dec.route),
		Models:    mapSlice(m.GetModels(), decodeModel),
		PoolModel: mapValues(m.GetPoolModel(), func(s string) string { return s }),
		Windows:   mapSlice(m.GetWindows(), decodeWindow),
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

func (dec *decoder) route(m *ConfigRoute) config.Route {
	return config.Route{
		Name: m.GetName(), Prefix: m.GetPrefix(), Pool: m.GetPool(),
		Protocol: decodeEnum(dec, "protocol", m.GetProtocol(), config.Language),
		Class:    decodeEnum(dec, "class", m.GetClass(), fleet.Urgent),
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
	return &ConfigWindow{Name: x.Name, Opens: unixNanos(x.Opens), Closes: unixNanos(x.Closes), Reserved: x.Reserved}
}

func decodeWindow(m *ConfigWindow) config.Window {
	return config.Window{
		Name: m.GetName(), Opens: fromUnixNanos(m.GetOpens()), Closes: fromUnixNanos(m.GetCloses()),
		Reserved: m.GetReserved(),
	}
}

func encodeBudget(x config.Budget) *ConfigBudget {
	return &ConfigBudget{
		HourlyCap: x.HourlyCap, PricePerHour: x.PricePerHour,
		StartDelay: int64(x.StartDelay), RoleChangeDelay: int64(x.RoleChangeDelay),
		MinimumPerPool: mapValues(x.MinimumPerPool, func(n int) int64 { return int64(n) }),
		MaximumPerPool: mapValues(x.MaximumPerPool, func(n int) int64 { return int64(n) }),
	}
}

func decodeBudget(m *ConfigBudget) config.Budget {
	return config.Budget{
		HourlyCap:    m.GetHourlyCap(),
		PricePerHour: mapValues(m.GetPricePerHour(), func(f float64) float64 { return f }),
		StartDelay:   time.Duration(m.GetStartDelay()), RoleChangeDelay: time.Duration(m.GetRoleChangeDelay()),
		MinimumPerPool: mapValues(m.GetMinimumPerPool(), func(n int64) int { return int(n) }),
		MaximumPerPool: mapValues(m.GetMaximumPerPool(), func(n int64) int { return int(n) }),
	}
}

func encodeKey(k config.Key) *ConfigKey {
	return &ConfigKey{Id: k.ID, Digest: k.Digest[:], Customer: string(k.Customer), Issued: unixNanos(k.Issued)}
}

func (dec *decoder) key(m *ConfigKey) config.Key {
	return config.Key{
		ID: m.GetId(), Digest: dec.bytes32("key digest", m.GetDigest()),
		Customer: fleet.Customer(m.GetCustomer()), Issued: fromUnixNanos(m.GetIssued()),
	}
}

func encodeInterruptedKey(c config.InterruptedKey) *ConfigCut {
	return &ConfigCut{Id: c.ID, Revision: c.Revision}
}

func decodeInterruptedKey(m *ConfigCut) config.InterruptedKey {
	return config.InterruptedKey{ID: m.GetId(), Revision: m.GetRevision()}
}

func encodeRevocation(x config.Revocation) *ConfigRevocation {
	return &ConfigRevocation{Host: string(x.Host), IssuedBefore: unixNanos(x.IssuedBefore)}
}

func decodeRevocation(m *ConfigRevocation) config.Revocation {
	return config.Revocation{Host: fleet.Host(m.GetHost()), IssuedBefore: fromUnixNanos(m.GetIssuedBefore())}
}

func encodeTarget(t fleet.Target) *ConfigTarget {
	return &ConfigTarget{
		Name: string(t.Name), Host: string(t.Host), Region: string(t.Region), DataCentre: string(t.DataCentre),
		Agent: addrPortBytes(t.Agent), Incarnation: uint64(t.Incarnation), Kind: uint32(t.Kind), Pool: t.Pool,
		Role: uint32(t.Role), Phase: uint32(t.Phase), PhaseUntil: unixNanos(t.PhaseUntil),
		ChecksFencing: t.ChecksFencing, Slots: t.Slots,
	}
}

func (dec *decoder) target(m *ConfigTarget) fleet.Target {
	return fleet.Target{
		Name: fleet.TargetName(m.GetName()), Host: fleet.Host(m.GetHost()),
		Region: fleet.Region(m.GetRegion()), DataCentre: fleet.DataCentre(m.GetDataCentre()),
		Agent: dec.addrPort(m.GetAgent()), Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Kind: decodeEnum(dec, "target kind", m.GetKind(), fleet.Engine), Pool: m.GetPool(),
		Role:       decodeEnum(dec, "role", m.GetRole(), fleet.Decode),
		Phase:      decodeEnum(dec, "phase", m.GetPhase(), fleet.Unknown),
		PhaseUntil: fromUnixNanos(m.GetPhaseUntil()), ChecksFencing: m.GetChecksFencing(), Slots: m.GetSlots(),
	}
}

func encodeConfigSnapshot(s config.Snapshot) *ConfigSnapshot {
	return &ConfigSnapshot{
		Revision: s.Revision, Document: encodeDocument(s.Document),
		Keys: mapSlice(s.Keys, encodeKey), Targets: mapSlice(s.Targets, encodeTarget), Cut: mapSlice(s.InterruptedKeys, encodeInterruptedKey),
		Revoked: mapSlice(s.Revoked, encodeRevocation),
	}
}

func (dec *decoder) configSnapshot(m *ConfigSnapshot) config.Snapshot {
	return config.Snapshot{
		Revision: m.GetRevision(), Document: dec.document(m.GetDocument()),
		Keys: mapSlice(m.GetKeys(), dec.key), Targets: mapSlice(m.GetTargets(), dec.target), InterruptedKeys: mapSlice(m.GetCut(), decodeInterruptedKey),
		Revoked: mapSlice(m.GetRevoked(), decodeRevocation),
	}
}

func encodeDelta(d config.Delta) *ConfigDelta {
	m := &ConfigDelta{
		From: d.From, To: d.To,
		RemoveCustomers: mapSlice(d.RemoveCustomers, toString[fleet.Customer]),
		PutCustomers:    mapSlice(d.PutCustomers, encodeCustomer),
		RemoveKeys:      d.RemoveKeys,
		PutKeys:         mapSlice(d.PutKeys, encodeKey),
		Cut:             mapSlice(d.InterruptedKeys, encodeInterruptedKey),
		RemoveTargets:   mapSlice(d.RemoveTargets, toString[fleet.TargetName]),
		PutTargets:      mapSlice(d.PutTargets, encodeTarget),
		Revoked:         mapSlice(d.Revoked, encodeRevocation),
	}
	if d.General != nil {
		m.General = encodeGeneral(*d.General)
	}
	return m
}

func (dec *decoder) delta(m *ConfigDelta) config.Delta {
	d := config.Delta{
		From: m.GetFrom(), To: m.GetTo(),
		RemoveCustomers: mapSlice(m.GetRemoveCustomers(), customerName),
		PutCustomers:    mapSlice(m.GetPutCustomers(), decodeCustomer),
		RemoveKeys:      m.GetRemoveKeys(),
		PutKeys:         mapSlice(m.GetPutKeys(), dec.key),
		InterruptedKeys: mapSlice(m.GetCut(), decodeInterruptedKey),
		RemoveTargets:   mapSlice(m.GetRemoveTargets(), targetName),
		PutTargets:      mapSlice(m.GetPutTargets(), dec.target),
		Revoked:         mapSlice(m.GetRevoked(), decodeRevocation),
	}
	if m.GetGeneral() != nil {
		g := dec.general(m.GetGeneral())
		d.General = &g
	}
	return d
}
