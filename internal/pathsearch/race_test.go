//go:build race

package pathsearch

// defaultRuns is lower with the race detector, whose runtime crashed once after
// 240 runs in one process (KNOWN-RED.txt). CI also makes the full number of runs
// without the race detector.
const defaultRuns = 100
