package retry

import "sync"

// budgetShard holds the budgets of some of the services.
type budgetShard struct {
	// mu guards byService and the budgets in it.
	mu        sync.Mutex
	byService map[string]*budget
	// options is read-only.
	options Options
}

func (s *budgetShard) get(service string) *budget {
	b := s.byService[service]
	if b == nil {
		b = &budget{options: s.options}
		s.byService[service] = b
	}
	return b
}
