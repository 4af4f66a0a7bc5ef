// Package stopping decides which calls a node still takes during a planned stop. It
// takes the time as an argument and does not depend on a transport.
package stopping
