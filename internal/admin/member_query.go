package admin

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/filbertpier/filbertpier/internal/member"
)

const (
	// defaultPageSize and maxPageSize bound a response. A record takes about 250
	// bytes, so the largest response has about 2.5 MB.
	defaultPageSize = 1000
	maxPageSize     = 10_000
)

// memberQuery is the filter and page of a members request. An empty filter
// matches all members.
type memberQuery struct {
	region, zone, service, status string
	// after is the last VM id of the previous page.
	after string
	limit int
}

func parseMemberQuery(v url.Values) memberQuery {
	q := memberQuery{region: v.Get("region"), zone: v.Get("zone"), service: v.Get("service"), status: v.Get("status"), after: v.Get("after")}
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultPageSize
	}
	q.limit = min(limit, maxPageSize)
	return q
}

func (q memberQuery) matches(m member.Member) bool {
	match := func(want, have string) bool { return want == "" || want == have }
	return match(q.region, m.Region) && match(q.zone, m.Zone) && match(q.service, m.Service) &&
		match(q.status, m.Status.String()) && (q.after == "" || m.VM > q.after)
}

// page returns the first limit matching members, sorted by VM id, and the total
// number of matches.
func (q memberQuery) page(all []member.Member) ([]member.Member, int) {
	out := []member.Member{}
	for _, m := range all {
		if q.matches(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b member.Member) int { return strings.Compare(a.VM, b.VM) })
	return out[:min(len(out), q.limit)], len(out)
}
