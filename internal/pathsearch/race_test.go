//go:build race

package pathsearch

// defaultSeedCount is lower with the race detector, because its runtime may crash in a
// long process, as it did after 240 seeds (KNOWN-RED.txt). CI also runs the full
// number of seeds without the race detector.
const defaultSeedCount = 100
