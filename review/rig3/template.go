package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/([a-z_.]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9@]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file. It supports what the templates of this
// repository use: values, values as JSON, and sections for tables and present values.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		switch v := lookup(fields, m[1]).(type) {
		case nil:
			return ""
		case map[string]any:
			var b strings.Builder
			for _, key := range slices.Sorted(maps.Keys(v)) {
				item := strings.NewReplacer("{{@}}", key, "{{.}}", fmt.Sprint(v[key])).Replace(m[2])
				b.WriteString(render(item, fields))
			}
			return b.String()
		}
		return render(m[2], fields)
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		if m[2] != "" {
			b, err := json.Marshal(v)
			if err != nil {
				return ""
			}
			return string(b)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

// lookup returns the value at a path such as "bounds.grace_s" or "internal_port_range.0", or nil.
func lookup(fields map[string]any, path string) any {
	var v any = fields
	for part := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []int:
			v = x[int(part[0]-'0')]
		default:
			return nil
		}
	}
	return v
}
