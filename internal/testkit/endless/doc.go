// Package endless holds a stand-in for a faulty process that sends bytes without end.
package endless
