// Package manifest describes a published version of the configuration
// document: which sections it consists of, and the signatures of both leads
// that make it count. All functions are safe for concurrent use.
package manifest
