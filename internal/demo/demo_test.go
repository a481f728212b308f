package demo_test

import (
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/internal/demo"
)

// Guards against a deployment that breaks a promise while targets, keys and the
// leader change under load, as counted by the stand-ins.
func TestDemoKeepsItsPromises(t *testing.T) {
	var out strings.Builder
	err := demo.Run(context.Background(), demo.Options{Seed: 1, Out: &out, Log: hclog.NewNullLogger()})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
