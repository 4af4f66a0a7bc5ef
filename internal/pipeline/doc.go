// Package pipeline serves requests that a client sends ahead on one connection at the
// same time. It splits the connection in front of net/http, which serves one request at
// a time on a connection: each request sent ahead gets a part of its own, and the
// responses of the parts are written in the order of the requests.
//
// Only GET requests without a body are split off. All others wait for those before them.
package pipeline
