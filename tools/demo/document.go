package main

import (
	"fmt"

	"github.com/filbertpier/filbertpier/config"
)

// documentFor returns the configuration of the demonstration. The generation
// number appears in a comment and in one timeout, so that consecutive versions
// differ only in the recall section.
func documentFor(generation int) []config.Section {
	return []config.Section{
		{Name: "ranks", Owner: "operations", Raw: []byte(`{
  "section": "ranks", "owner": "operations",
  "ranks": [
    {"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5},
    {"name": "normal", "order": 1, "targetMs": 1000, "worth": 3, "floor": 0.2},
    {"name": "bulk", "order": 2, "targetMs": 10000, "worth": 1, "floor": 0.1},
  ],
  "retries": [{"name": "standard", "maxAttempts": 3, "budgetRatio": 0.1, "backoffMs": 5}],
}`)},
		{Name: "recall", Owner: "recall-team", Raw: []byte(fmt.Sprintf(`{
  // generation %d
  "section": "recall", "owner": "recall-team",
  "services": [{"name": "recall", "selector": "recall", "slots": 6, "connections": 110}],
  "routes": [{"name": "recall-status", "pathPrefix": "/recall", "service": "recall", "rank": "urgent",
    "idempotent": true, "timeoutMs": %d, "retry": "standard"}],
}`, generation, 2000+generation))},
		{Name: "certificates", Owner: "calibration-team", Raw: []byte(`{
  "section": "certificates", "owner": "calibration-team",
  "services": [{"name": "certificates", "selector": "certificates", "slots": 6, "connections": 110}],
  "routes": [{"name": "bundles", "pathPrefix": "/certificates", "service": "certificates", "rank": "bulk",
    "idempotent": true, "timeoutMs": 10000, "retry": "standard"}],
}`)},
		{Name: "refunds", Owner: "refunds-team", Raw: []byte(`{
  "section": "refunds", "owner": "refunds-team",
  "services": [{"name": "refunds", "selector": "refunds", "slots": 6, "connections": 110}],
  "routes": [{"name": "refund", "pathPrefix": "/refunds", "method": "POST", "service": "refunds", "rank": "normal",
    "idempotent": false, "timeoutMs": 3000, "retry": "standard"}],
}`)},
	}
}
