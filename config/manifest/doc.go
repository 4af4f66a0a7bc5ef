// Package manifest describes a published version of the configuration
// document: the sections that it consists of and the signatures of both leads,
// without which nodes refuse it. All functions are safe for concurrent use.
package manifest
