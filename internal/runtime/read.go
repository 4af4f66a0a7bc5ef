package runtime

import (
	"context"
	"errors"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/platform"
)

// read carries out one platform read.
func read(ctx context.Context, client platform.Client, r effect.ReadPlatform) effect.PlatformResult {
	ans := effect.PlatformResult{Read: r}
	switch r.Query {
	case effect.QueryManifest:
		v, err := readManifest(ctx, client, r)
		ans.Revision, ans.Value, ans.Err = v.Revision, v.Data, err
	case effect.QuerySection:
		v, err := client.Get(ctx, platform.SectionKey(r.Section))
		ans.Revision, ans.Value, ans.Err = v.Revision, v.Data, err
	case effect.QueryVMList:
		list, err := client.WatchVMs(ctx, r.AfterRevision, r.Wait)
		ans.Revision, ans.VMs, ans.Err = list.Revision, list.VMs, err
	}
	var unchanged *platform.UnchangedError
	if errors.As(ans.Err, &unchanged) {
		ans.Err, ans.Unchanged, ans.Revision = nil, true, unchanged.Revision
	}
	return ans
}

func readManifest(ctx context.Context, client platform.Client, r effect.ReadPlatform) (platform.Value, error) {
	if r.Wait == 0 {
		return client.Get(ctx, platform.ManifestKey)
	}
	return client.Watch(ctx, platform.ManifestKey, r.AfterRevision, r.Wait)
}
