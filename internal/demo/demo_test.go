package demo_test

import (
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/internal/demo"
)

// Guards against a promise that the system breaks under load while targets, keys
// and the leader change, as counted by the fakes.
func TestDemoKeepsItsPromises(t *testing.T) {
	var out strings.Builder
	err := demo.Run(context.Background(), demo.Options{Seed: 1, Out: &out, Log: hclog.NewNullLogger()})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
