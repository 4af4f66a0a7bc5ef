// Package coldstart follows whether the upstream beside a node is cold. A cold upstream
// takes few calls per second and crashes well above that.
package coldstart
