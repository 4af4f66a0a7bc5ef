package main

import (
	"time"

	"github.com/filbertpier/filbertpier/config"
)

// deployment is one of the two firms: three services of six upstreams.
type deployment struct {
	name               string
	slots, connections int
	// services holds the mean service time of each service.
	services [3]time.Duration
	// ranks are sorted by urgency.
	ranks [3]*config.Rank
}

// The slots and connections are those of the two firms. Service times and
// targets are assumptions: the firms state none.
var deployments = []deployment{
	{
		name: "nadroka", slots: 6, connections: 110,
		services: [3]time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond},
		ranks:    ranksWithTargets(200, 400, 1000),
	},
	{
		name: "formosa", slots: 18, connections: 120,
		services: [3]time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond},
		ranks:    ranksWithTargets(100, 250, 1000),
	},
}

func ranksWithTargets(urgent, normal, least int64) [3]*config.Rank {
	return [3]*config.Rank{
		{Name: "urgent", Order: 0, TargetMs: urgent, Worth: 10, Floor: 0.3},
		{Name: "normal", Order: 1, TargetMs: normal, Worth: 3, Floor: 0.2},
		{Name: "least", Order: 2, TargetMs: least, Worth: 1, Floor: 0.1},
	}
}
