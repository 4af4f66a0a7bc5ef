package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
)

// action runs one command. The result may be nil, also if there is no error.
type action func(ctx context.Context) (ctl.Result, error)
