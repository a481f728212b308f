package scenario

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"unicode"

	"papayarock/internal/fake"
)

// kebab returns the name of a field in scripts, such as lose-kv for LoseKV.
func kebab(field string) string {
	var b strings.Builder
	runes := []rune(field)
	for i, r := range runes {
		startsWord := i > 0 && unicode.IsUpper(r) &&
			(!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if startsWord {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// Guards against a field of a fake, its faults or its counters that is renamed, so
// that scripts which set or check it by name fail, and against one that is added
// without its script name in this table.
func TestScriptNames(t *testing.T) {
	tests := map[string]struct {
		value any
		want  []string // exported fields that are neither functions nor maps
	}{
		"engine": {fake.Engine{}, []string{
			"model", "version", "role", "slots", "prefill-tokens-per-second", "decode-tokens-per-second",
			"step", "role-gain", "cache-blocks", "kv-bytes-per-token", "kv-time", "event-lag",
			"event-gap-every", "load-lag", "checks-fencing", "role-change-time", "load-time", "resume-window",
		}},
		"service":  {fake.Service{}, nil},
		"platform": {fake.Platform{}, []string{"start-delay", "idempotent"}},
		"weights":  {fake.WeightStore{}, []string{"bytes-per-second"}},
		"engine faults": {fake.EngineFaults{}, []string{
			"crash-after-frames", "drop-after-frames", "crash-in-order", "crash-keeps-change",
			"lose-order-answers", "slow-orders", "slowdown", "extra-load-lag", "silent", "fail-fast",
			"lose-kv", "crash-in-export", "crash-in-import",
		}},
		"service faults":  {fake.ServiceFaults{}, []string{"lose-answers", "fail-fast", "silent", "before", "after"}},
		"platform faults": {fake.PlatformFaults{}, []string{"lose-answers", "fail-fast", "silent", "before"}},
		"proxy faults":    {fake.ProxyFaults{}, []string{"refuse", "hold", "delay", "hold-to", "hold-from"}},
		"engine counts": {fake.EngineCounts{}, []string{
			"started", "completed", "cancelled", "interrupted", "prompt-tokens", "cached-tokens",
			"output-tokens", "crashes", "role-changes", "orders-run", "orders-refused", "old-orders-run",
			"orders-repeated", "order-conflicts", "exports", "imports", "cache-listings", "content-conflict",
		}},
		"service counts": {serviceCounts{}, []string{"runs", "repeated"}},
		"platform counts": {platformCounts{}, []string{
			"orders", "starting", "running", "stopped", "duplicate-starts", "usage-reports",
			"conflicting-usage", "billed",
		}},
		"weight counts": {weightCounts{}, []string{"downloads", "peak", "bytes"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			v := reflect.ValueOf(tt.value)
			for i := range v.NumField() {
				f := v.Type().Field(i)
				if k := f.Type.Kind(); f.IsExported() && k != reflect.Func && k != reflect.Map {
					got = append(got, kebab(f.Name))
				}
			}
			for _, name := range tt.want {
				if !fieldByKebabName(v, name).IsValid() {
					t.Errorf("no field for the script name %q", name)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("fields %q, want %q", got, tt.want)
			}
		})
	}
}
