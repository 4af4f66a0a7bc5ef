// Package lead implements what the two leads, product and operations, do before
// a version takes effect: key generation, signing, verification and writing the
// files for publication.
package lead
