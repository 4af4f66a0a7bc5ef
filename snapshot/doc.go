// Package snapshot represents versions of the configuration as immutable
// values. A Store replaces its current version atomically and only with a newer
// one.
package snapshot
