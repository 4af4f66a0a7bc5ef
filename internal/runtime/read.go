package runtime

import (
	"context"
	"errors"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/platform"
)

// read performs one platform read. An unchanged value is not an error.
func read(ctx context.Context, client platform.Client, r effect.ReadPlatform) effect.PlatformResult {
	result := effect.PlatformResult{Read: r}
	switch r.Query {
	case effect.QueryManifest:
		v, err := readManifest(ctx, client, r)
		result.Revision, result.Value, result.Err = v.Revision, v.Data, err
	case effect.QuerySection:
		v, err := client.Get(ctx, platform.SectionKey(r.Section))
		result.Revision, result.Value, result.Err = v.Revision, v.Data, err
	case effect.QueryVMList:
		list, err := client.WatchVMs(ctx, r.AfterRevision, r.Wait)
		result.Revision, result.VMs, result.Err = list.Revision, list.VMs, err
	}
	var unchanged *platform.UnchangedError
	if errors.As(result.Err, &unchanged) {
		result.Err, result.Unchanged, result.Revision = nil, true, unchanged.Revision
	}
	return result
}

func readManifest(ctx context.Context, client platform.Client, r effect.ReadPlatform) (platform.Value, error) {
	if r.Wait == 0 {
		return client.Get(ctx, platform.ManifestKey)
	}
	return client.Watch(ctx, platform.ManifestKey, r.AfterRevision, r.Wait)
}
