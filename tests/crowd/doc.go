// Package crowd holds tests in which crowds of misbehaving clients attack a node that
// runs as a process of its own. They have the build tag crowd and run one at a time
// (make crowd), because they measure the memory and the file descriptors of the node.
package crowd
