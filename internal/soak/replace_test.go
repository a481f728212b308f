package soak_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/platform/standin"
)

// Guards against a registry without a quorum for good, because two of three replicas are
// shut down at the same moment although their successors have caught up: the processes
// must not end before the successors vote.
func TestReplicasShutDownTogether(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, buildBinary(t), newPercents(*firstSeed))
	ctx, cancel := context.WithTimeout(d.ctx, 4*recoveryTimeout)
	defer cancel()
	operator := &standin.Operator{RegistryAddresses: d.registryAddresses}
	is.NoErr(operator.Put(ctx, standin.Document(1, pool, true))) // first document
	for range 2 {
		p, settings := d.addReplica()
		d.writeSettings(p, settings(false))
		d.start(p)
		t.Cleanup(func() { p.signal(syscall.SIGKILL); p.wait() })
	}
	for !d.haveLearners(ctx, "2") {
		is.NoErr(ctx.Err()) // two learners
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range d.replicas[:2] {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range d.replicas[:2] {
		p.wait()
	}
	operator.RegistryAddresses = d.registryAddresses[2:]
	is.NoErr(operator.Put(ctx, standin.Document(2, pool, true))) // document after the shutdown
	version, _, ok := operator.Show(ctx)
	is.True(ok)
	is.Equal(version, uint64(2))
}

// haveLearners reports whether all replicas but the learners know that number of learners.
func (d *deployment) haveLearners(ctx context.Context, number string) bool {
	for _, p := range d.replicas[:registryReplicas] {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.metrics+"/metrics", nil)
		if err != nil {
			d.t.Fatal(err)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return false
		}
		text, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil || !strings.Contains(string(text), "\npapayarock_registry_learners "+number+"\n") {
			return false
		}
	}
	return true
}
