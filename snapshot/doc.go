// Package snapshot represents versions of the configuration as immutable,
// verified values. Its store replaces the current version atomically and only by
// a newer one.
package snapshot
