// Package files reads files up to a maximum size and writes files for fpctl.
package files
