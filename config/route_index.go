package config

// routeIndex finds the route of a call. The time depends on the length of the
// path, not on the number of routes. A routeIndex is immutable.
type routeIndex struct {
	// byHost maps a host and a path prefix to routes, in order of precedence.
	byHost map[string]map[string][]*Route
}

// newRouteIndex requires that routes with a method precede routes for any
// method.
func newRouteIndex(routes []*Route) routeIndex {
	x := routeIndex{byHost: map[string]map[string][]*Route{}}
	for _, r := range routes {
		byPrefix := x.byHost[r.Host]
		if byPrefix == nil {
			byPrefix = map[string][]*Route{}
			x.byHost[r.Host] = byPrefix
		}
		byPrefix[r.PathPrefix] = append(byPrefix[r.PathPrefix], r)
	}
	return x
}

func (x *routeIndex) match(host, method, path string) (*Route, bool) {
	if host != "" {
		if r := longestPrefix(x.byHost[host], method, path); r != nil {
			return r, true
		}
	}
	r := longestPrefix(x.byHost[""], method, path)
	return r, r != nil
}

// longestPrefix looks up the whole path and then, longest first, each prefix of
// it that ends just after or just before a slash.
func longestPrefix(byPrefix map[string][]*Route, method, path string) *Route {
	if len(byPrefix) == 0 {
		return nil
	}
	if r := forMethod(byPrefix[path], method); r != nil {
		return r
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := forMethod(byPrefix[path[:i+1]], method); r != nil {
			return r
		}
		if r := forMethod(byPrefix[path[:i]], method); r != nil {
			return r
		}
	}
	return nil
}

func forMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if r.Method == "" || r.Method == method {
			return r
		}
	}
	return nil
}
