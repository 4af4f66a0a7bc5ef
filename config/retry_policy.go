package config

// RetryPolicy bounds the number and the rate of retries.
type RetryPolicy struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// MaxAttempts includes the first attempt.
	MaxAttempts int `json:"maxAttempts"`
	// BudgetRatio bounds retries as a share of recent calls to the service,
	// 0 to 1.
	BudgetRatio float64 `json:"budgetRatio"`
	// BackoffMs is the mean delay before the first retry in milliseconds.
	BackoffMs int64 `json:"backoffMs"`
}
