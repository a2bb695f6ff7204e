package agent

import (
	"context"
)

func (g *group) newLoadRequest(version uint64) mapLoadRequest {
	load := mapLoadRequest{Version: version, Bytes: g.placements.loadBytes(g.loadedMap, version)}
	if content := g.placements.content(version); content != nil {
		load.Slots = content.GetSlots()
	}
	return load
}

// startLoad begins to load a map unless that is under way already. The agent asks again
// with each new connection to the engine: with a loader for each, an engine that comes
// and goes would be asked by ever more of them, and the weight store through it.
func (g *group) startLoad(ctx context.Context, version uint64) {
	if g.activeLoads[version] {
		return
	}
	g.activeLoads[version] = true
	go g.loadMap(ctx, version, g.newLoadRequest(version), g.connectionCount)
}

// finishLoad takes the end of a load. One that began before the connection that stands now
// may have been for an engine that has lost its weights since.
func (g *group) finishLoad(ctx context.Context, version, connection uint64) {
	delete(g.activeLoads, version)
	if connection != g.connectionCount {
		g.startLoad(ctx, version)
		return
	}
	g.loadedMap = version
	g.agent.MapLoaded(engineIndex, version)
}

// loadMap has the engine fetch the weights of a map. It uses a connection of its own:
// loading takes long, and orders must not wait behind it.
func (g *group) loadMap(ctx context.Context, version uint64, body mapLoadRequest, connection uint64) {
	err := g.backend.loadMap(ctx, body)
	if err == nil {
		g.post(ctx, func() { g.finishLoad(ctx, version, connection) })
		return
	}
	_ = g.logger.Log("msg", "A map could not be loaded.", "result", backendFailedLabel, "map", version, "err", err)
	sleep(ctx, engineRetryInterval)
	g.post(ctx, func() { g.retryLoad(ctx, version) })
}

// retryLoad tries again while anybody needs the map.
func (g *group) retryLoad(ctx context.Context, version uint64) {
	delete(g.activeLoads, version)
	if g.agent.LoadFailed(engineIndex, version) {
		g.startLoad(ctx, version)
	}
}
