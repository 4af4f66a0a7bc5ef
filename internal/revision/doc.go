// Package revision orders the states of the items that the platform publishes.
package revision
