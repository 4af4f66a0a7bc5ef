// Package testkit builds signed documents for tests.
package testkit
