// Package admission limits the calls that run on one upstream. The limit is
// kept by the node beside the upstream, so it holds exactly for all senders
// taken together.
package admission
