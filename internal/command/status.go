package command

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/operator"
)

// ReplicaStatus is the status of one control replica, or the error if the replica
// did not return it.
type ReplicaStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// Status shows the status of each control replica. It fails if none responds.
func (s *Session) Status(ctx context.Context) error {
	all := s.statuses(ctx)
	if err := s.showStatuses(all); err != nil {
		return err
	}
	for _, r := range all {
		if r.Status != nil {
			return nil
		}
	}
	return operator.ErrUnavailable
}

func (s *Session) statuses(ctx context.Context) []ReplicaStatus {
	all := make([]ReplicaStatus, len(s.Client.Addresses()))
	var wg sync.WaitGroup
	for i, address := range s.Client.Addresses() {
		all[i].Address = address
		wg.Go(func() {
			status, err := s.Client.StatusOf(ctx, address)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].Status = &status
		})
	}
	wg.Wait()
	return all
}

func (s *Session) showStatuses(all []ReplicaStatus) error {
	type r = ReplicaStatus
	ifAvailable := func(cell func(*operator.Status) any) func(r) any {
		return func(x r) any {
			if x.Status == nil {
				return ""
			}
			return cell(x.Status)
		}
	}
	return showTable(s.Out, all, all,
		column[r]{"ADDRESS", func(x r) any { return x.Address }},
		column[r]{"HOST", ifAvailable(func(x *operator.Status) any { return x.Host })},
		column[r]{"LEADER", ifAvailable(func(x *operator.Status) any { return x.Leader })},
		column[r]{"LEADING", ifAvailable(func(x *operator.Status) any { return x.Leading })},
		column[r]{"TERM", ifAvailable(func(x *operator.Status) any { return x.Term })},
		column[r]{"REVISION", ifAvailable(func(x *operator.Status) any { return x.Revision })},
		column[r]{"CURRENT", ifAvailable(func(x *operator.Status) any { return x.Current })},
		column[r]{"NODES", ifAvailable(func(x *operator.Status) any { return x.Nodes })},
		column[r]{"ERROR", func(x r) any { return x.Error }})
}

// Watch shows the status once each period until ctx ends, at most count times if
// count is above 0.
func (s *Session) Watch(ctx context.Context, period time.Duration, count int) error {
	if period <= 0 || count < 0 {
		return errors.Wrapf(ErrInvalidInput, "period %v is not positive or count %d is negative", period, count)
	}
	for i := 1; ; i++ {
		if err := s.showStatuses(s.statuses(ctx)); err != nil {
			return err
		}
		if i == count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period):
		}
	}
}

// Dump writes a JSON object with the state of each control replica by address. If
// replicas do not respond, it leaves them out and returns the error of the last one.
func (s *Session) Dump(ctx context.Context) error {
	all := make(map[string]json.RawMessage)
	var failed error
	for _, address := range s.Client.Addresses() {
		d, err := s.Client.DumpOf(ctx, address)
		if err != nil {
			failed = err
			continue
		}
		all[address] = d
	}
	if err := (Output{W: s.Out.W, JSON: true}).Show(all, nil, nil); err != nil {
		return err
	}
	return failed
}
