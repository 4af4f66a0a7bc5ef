// Package manifest describes a published version of the configuration
// document: the sections that it consists of and the signatures of both leads.
// Nodes refuse a version that lacks one of them. Functions and methods are safe
// for concurrent use, except Envelope.Sign and Digest.UnmarshalText, which modify
// their receiver.
package manifest
