// Package settings reads and checks the settings of a node.
package settings
