package retry

import "sync"

// budgetShard holds the budgets of the services that hash to it.
type budgetShard struct {
	// mu guards byService and the budgets in it.
	mu        sync.Mutex
	byService map[string]*budget
	// options is read-only.
	options Options
}

// budgetFor returns the budget of a service, and creates it on first use.
func (s *budgetShard) budgetFor(service string) *budget {
	b := s.byService[service]
	if b == nil {
		b = &budget{options: s.options}
		s.byService[service] = b
	}
	return b
}
