// Package lead holds the work of the two leads: their keys, accepting a
// version, verifying it and preparing it for publication.
package lead
