// Package instance keeps the directory of upstream instances that the platform
// publishes. Each start of an upstream is an instance of its own.
package instance
