//go:build !race

package pathsearch

const defaultSeedCount = 250
