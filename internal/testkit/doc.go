// Package testkit builds signed configuration documents for tests.
package testkit
