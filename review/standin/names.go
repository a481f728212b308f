package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the header fields and paths of the platform, from names.json.
var names = func() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()
