package config

// Values of Fault.Rule for faults, besides the syntax and schema rules of
// package strictjson. Tools may depend on these values, so they must not change.
const (
	RuleEmptyDocument    = "empty-document"
	RuleSectionCount     = "section-count"
	RuleDocumentSize     = "document-size"
	RuleSectionSize      = "section-size"
	RuleSectionName      = "section-name"
	RuleSectionOwner     = "section-owner"
	RuleOwnerRequired    = "owner-required"
	RuleNameRequired     = "name-required"
	RuleNameForm         = "name-form"
	RuleDuplicateName    = "duplicate-name"
	RuleNoRanks          = "no-ranks"
	RuleRankOrder        = "rank-order"
	RulePositive         = "positive"
	RuleNonNegative      = "non-negative"
	RuleRange            = "range"
	RuleShare            = "share"
	RuleFloorsSum        = "floors-sum"
	RuleSelectorRequired = "selector-required"
	RuleConnections      = "connections"
	RuleAttempts         = "attempts"
	RulePathPrefix       = "path-prefix"
	RuleReservedPath     = "reserved-path"
	RuleTimeout          = "timeout"
	RuleMethod           = "method"
	RuleDuplicateMatch   = "duplicate-match"
	RuleDuplicateRegion  = "duplicate-region"
	RuleUnknownService   = "unknown-service"
	RuleUnknownRank      = "unknown-rank"
	RuleUnknownRetry     = "unknown-retry"
)

// Values of Fault.Rule for warnings. A document with warnings is valid.
const (
	WarnNoRoutes          = "no-routes"
	WarnUnusedService     = "unused-service"
	WarnUnusedRank        = "unused-rank"
	WarnUnusedRetry       = "unused-retry"
	WarnShadowedRoute     = "shadowed-route"
	WarnSimilarPrefix     = "similar-prefix"
	WarnTargetOverTimeout = "target-over-timeout"
	WarnFloorBelowSlot    = "floor-below-slot"
	WarnNonIdempotentRead = "non-idempotent-read"
)
