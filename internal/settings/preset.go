package settings

import "slices"

// Preset holds the regions of a deployment and the defaults for its nodes, which
// a node's own settings override.
type Preset struct {
	// Regions are the deployment's regions; the first hosts the platform.
	Regions []string
	// DrainMs is the default of Node.DrainMs.
	DrainMs int64
}

// presets maps the name of a deployment to its preset.
var presets = map[string]Preset{
	// A certificate bundle may take 10 s, and a server runs only 6 calls at once
	// for about 110 connections, so a drain may have to wait for queued bundles.
	"nadroka": {Regions: []string{"viti-levu", "vanua-levu", "lau-east"}, DrainMs: 30_000},
	// Scripts are the longest calls, with a timeout of 5 s in the example
	// document; the drain is long enough for one queued behind another.
	"formosa-heralds": {Regions: []string{"north", "central", "south"}, DrainMs: 15_000},
}

func (p Preset) hasRegion(region string) bool { return slices.Contains(p.Regions, region) }

// applyPreset sets defaults for settings that are empty.
func (n *Node) applyPreset() {
	p, ok := presets[n.Preset]
	if !ok {
		return
	}
	if n.Platform.Region == "" {
		n.Platform.Region = p.Regions[0]
	}
	if n.DrainMs == 0 {
		n.DrainMs = p.DrainMs
	}
}
