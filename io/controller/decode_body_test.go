package controller

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/io/operator"
)

// Guards against an operator's request that is carried out although other bytes follow it.
func TestDecodeBody(t *testing.T) {
	const change = `{"action":"remove","host":"c1"}`
	for name, test := range map[string]struct {
		body string
		ok   bool
	}{
		"one value":       {change, true},
		"white space":     {"\n" + change + " \n", true},
		"closing brace":   {change + "}", false},
		"closing bracket": {change + "]", false},
		"two values":      {change + change, false},
		"text":            {change + "x", false},
		"unknown field":   {`{"action":"remove","name":"c1"}`, false},
		"empty":           {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var in operator.MemberChange
			err := decodeBody(strings.NewReader(test.body), &in)
			is.Equal(err == nil, test.ok)
		})
	}
}
