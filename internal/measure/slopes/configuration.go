package slopes

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

const (
	keysPerCustomer    = 2
	customersPerTarget = 10
	models             = 5
	regions            = 4
	dataCentres        = 11
	repetitions        = 5 // of an operation, over which the mean is taken
	slotsPerTarget     = 32
	incarnation        = 1 // of every target and agent
	agentPort          = 7002
	tokensPerSecond    = 1000                   // limit of a customer
	promise            = 30 * time.Second       // promised response time of a route
	firstToken         = 330 * time.Millisecond // promised time to the first token of a route
	targetNameFormat   = "language-%04d"
	customerFormat     = "customer-%05d"
	dataCentreFormat   = "data-centre-%02d"
	regionFormat       = "region-%d"
	nanosPerMilli      = 1e6
)

func customer(i int) fleet.Customer { return fleet.Customer(fmt.Sprintf(customerFormat, i)) }

// pool returns the name of the pool of a model. Each model has one pool.
func pool(i int) string { return fmt.Sprintf("model-%d", i%models) }

// document returns a configuration document with the given number of customers.
func document(customers int) config.Document {
	d := config.Document{Team: "measure"}
	for i := range customers {
		d.Customers = append(d.Customers, config.Customer{Name: customer(i), Weight: 1, TokensPerSecond: tokensPerSecond})
	}
	for i := range models {
		d.Models = append(d.Models, config.Model{Name: pool(i), Version: "1", Bytes: 1 << 30})
		d.Routes = append(d.Routes, config.Route{
			Name: fmt.Sprintf("route-%d", i), Prefix: fmt.Sprintf("/%s/", pool(i)), Protocol: config.Language, Pool: pool(i),
			Class: fleet.Urgent, Idempotent: true, Promise: promise, FirstToken: firstToken,
		})
	}
	return d
}

// target returns the i-th target of a fleet spread over all data centres and models.
func target(i int) fleet.Target {
	dc := i % dataCentres
	return fleet.Target{
		Name: fleet.TargetName(fmt.Sprintf(targetNameFormat, i)), Host: fleet.Host(fmt.Sprintf("host-%04d", i)),
		Region: fleet.Region(fmt.Sprintf(regionFormat, dc%regions)), DataCentre: fleet.DataCentre(fmt.Sprintf(dataCentreFormat, dc)),
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), agentPort),
		Incarnation: incarnation, Kind: fleet.Engine, Pool: pool(i / dataCentres), Phase: fleet.Ready, Slots: slotsPerTarget,
	}
}

// snapshot returns a configuration with two keys for each customer and one target
// for every ten customers, but at least customersToday targets.
func snapshot(customers int) config.Snapshot {
	s := config.Snapshot{Revision: 1, Document: document(customers)}
	for i := range customers * keysPerCustomer {
		id := fmt.Sprintf("key-%05d", i)
		s.Keys = append(s.Keys, config.Key{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: customer(i / keysPerCustomer)})
	}
	for i := range max(customersToday, customers/customersPerTarget) {
		s.Targets = append(s.Targets, target(i))
	}
	return s
}

// meanMillis returns the mean duration of f in ms.
func meanMillis(f func() error) (float64, error) {
	start := time.Now()
	for range repetitions {
		if err := f(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(start).Nanoseconds()) / repetitions / nanosPerMilli, nil
}

// measureConfiguration measures the encoded size of a configuration, of its largest
// piece and of changes to it in the log, its memory at a node, and the time to encode
// and decode it.
func measureConfiguration(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "configuration: two keys a customer, a target for ten customers",
		Columns: []string{"customers", "whole B", "largest piece B", "document in log B", "one customer in log B", "memory at node B", "encode ms", "decode and index ms"},
	}
	for _, n := range p.customers {
		s := snapshot(n)
		whole, err := wire.EncodeConfigSnapshot(s)
		if err != nil {
			return t, err
		}
		largest := 0
		for _, piece := range s.Pieces() {
			b, err := wire.EncodeConfigSnapshot(piece)
			if err != nil {
				return t, err
			}
			largest = max(largest, len(b))
		}
		command, err := wire.EncodeCommand(state.Change{ID: "change", Operator: "measure", Action: state.ReplaceDocument{Document: s.Document}})
		if err != nil {
			return t, err
		}
		change, err := customerChangeBytes(s)
		if err != nil {
			return t, err
		}
		encode, err := meanMillis(func() error { _, err := wire.EncodeConfigSnapshot(s); return err })
		if err != nil {
			return t, err
		}
		decode, err := meanMillis(func() error { _, err := decodeIndex(whole); return err })
		if err != nil {
			return t, err
		}
		before := memory()
		x, err := decodeIndex(whole)
		if err != nil {
			return t, err
		}
		size := memory() - before
		runtime.KeepAlive(x)
		t.add(float64(n), float64(len(whole)), float64(largest), float64(len(command)), float64(change), size, encode, decode)
	}
	return t, nil
}

// customerChangeBytes returns the size in the log of a change to one customer.
func customerChangeBytes(s config.Snapshot) (int, error) {
	d := s.Document
	d.Customers = slices.Clone(d.Customers)
	d.Customers[0].Weight++
	a, err := state.EditAction(config.NewIndex(s), d)
	if err != nil {
		return 0, err
	}
	b, err := wire.EncodeCommand(state.Change{ID: "change", Operator: "measure", Action: a})
	return len(b), err
}

// decodeIndex decodes and indexes an encoded configuration, as a node does.
func decodeIndex(whole []byte) (*config.Index, error) {
	s, err := wire.DecodeConfigSnapshot(whole)
	if err != nil {
		return nil, err
	}
	return config.NewIndex(s), nil
}

// measureDelta measures a delta with one key: encoding at control, and decoding and
// applying at a node.
func measureDelta(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "delta of one key",
		Columns: []string{"customers", "bytes", "encode µs", "decode and apply µs"},
	}
	for _, n := range p.customers {
		x := config.NewIndex(snapshot(n))
		d := config.Delta{From: 1, To: 2, PutKeys: []config.Key{{ID: "new", Digest: sha256.Sum256([]byte("new")), Customer: customer(0)}}}
		b, err := wire.EncodeDelta(d)
		if err != nil {
			return t, err
		}
		encode, err := meanMillis(func() error { _, err := wire.EncodeDelta(d); return err })
		if err != nil {
			return t, err
		}
		apply, err := meanMillis(func() error {
			d, err := wire.DecodeDelta(b)
			if err == nil {
				_, err = x.Apply(d)
			}
			return err
		})
		if err != nil {
			return t, err
		}
		t.add(float64(n), float64(len(b)), encode*1000, apply*1000)
	}
	return t, nil
}
