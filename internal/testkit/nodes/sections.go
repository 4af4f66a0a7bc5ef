package nodes

import "github.com/filbertpier/filbertpier/config"

// Sections returns a document with an idempotent service "recall" (path
// /recall) and a service "refunds" (path /refunds) that is not idempotent.
func Sections() []config.Section {
	return []config.Section{
		{Name: "ranks", Owner: "operations", Raw: []byte(`{"section": "ranks", "owner": "operations",
  "ranks": [{"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5}],
  "retries": [{"name": "standard", "maxAttempts": 3, "budgetRatio": 0.1, "backoffMs": 5}]}`)},
		{Name: "recall", Owner: "recall-team", Raw: []byte(`{"section": "recall", "owner": "recall-team",
  "services": [{"name": "recall", "selector": "recall", "slots": 6, "connections": 110}],
  "routes": [{"name": "recall", "pathPrefix": "/recall", "service": "recall", "rank": "urgent",
    "idempotent": true, "timeoutMs": 5000, "retry": "standard"}]}`)},
		{Name: "refunds", Owner: "refunds-team", Raw: []byte(`{"section": "refunds", "owner": "refunds-team",
  "services": [{"name": "refunds", "selector": "refunds", "slots": 6, "connections": 110}],
  "routes": [{"name": "refunds", "pathPrefix": "/refunds", "service": "refunds", "rank": "urgent",
    "idempotent": false, "timeoutMs": 5000}]}`)},
	}
}
