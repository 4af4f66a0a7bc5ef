// Command benchflood measures the decisions for calls under load in virtual
// time: floods of ten times the capacity, with a third of the upstreams cold or
// gone, for both deployments. It drives the packages that nodes use.
package main
