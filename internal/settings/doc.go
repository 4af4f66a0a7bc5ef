// Package settings decodes and validates the settings of a node.
package settings
