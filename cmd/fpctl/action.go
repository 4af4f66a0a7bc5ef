package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
)

// action carries out one command. The result may be nil.
type action func(ctx context.Context) (ctl.Result, error)
