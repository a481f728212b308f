package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
)

// Guards against a placer that is not told of the customer, or takes a caller that has
// returned after a refusal for a new one.
func TestPlacementRequestCustomer(t *testing.T) {
	started := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		fairOrder bool
		left      time.Duration // until the deadline
		firstSent time.Time
		customer  string
	}{
		"new":           {true, 20 * time.Second, started, "klang"},
		"returned":      {true, 15 * time.Second, started.Add(-5 * time.Second), "klang"},
		"no fair order": {false, 20 * time.Second, started, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := &job{
				g:     &Gateway{options: Options{FairOrder: test.fairOrder}},
				index: &catalog.Index{}, route: &catalog.Route{Timeout: 20 * time.Second}, customer: "klang", started: started,
				deadline: started.Add(test.left),
			}
			request := j.placementRequest(false)
			is.Equal(string(request.Customer), test.customer)
			is.True(request.FirstSent.Equal(test.firstSent))
		})
	}
}
