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

// startLoad starts loading a map unless that is already in progress. The agent requests the map
// again with each new connection to the engine. With a load for each request, an engine whose
// connection keeps breaking would get ever more concurrent loads, and so would the weight store.
func (g *group) startLoad(ctx context.Context, version uint64) {
	if g.activeLoads[version] {
		return
	}
	g.activeLoads[version] = true
	go g.loadMap(ctx, version, g.newLoadRequest(version), g.connectionCount)
}

// finishLoad records the end of a load. A load that began before the current connection may have
// been for an engine that has since lost its weights, so it is repeated.
func (g *group) finishLoad(ctx context.Context, version, connection uint64) {
	delete(g.activeLoads, version)
	if connection != g.connectionCount {
		g.startLoad(ctx, version)
		return
	}
	g.loadedMap = version
	g.agent.MapLoaded(engineIndex, version)
}

// loadMap makes the engine fetch the weights of a map. It uses a connection of its own: loading
// takes long, and orders must not wait for it.
func (g *group) loadMap(ctx context.Context, version uint64, body mapLoadRequest, connection uint64) {
	err := g.backend.loadMap(ctx, body)
	if err == nil {
		g.post(ctx, func() { g.finishLoad(ctx, version, connection) })
		return
	}
	_ = g.logger.Log("msg", "An expert map could not be loaded; the load will be retried if the map is still needed.", "result", backendFailedLabel, "map", version, "err", err)
	sleep(ctx, engineRetryInterval)
	g.post(ctx, func() { g.retryLoad(ctx, version) })
}

// retryLoad repeats a failed load while the map is still needed.
func (g *group) retryLoad(ctx context.Context, version uint64) {
	delete(g.activeLoads, version)
	if g.agent.LoadFailed(engineIndex, version) {
		g.startLoad(ctx, version)
	}
}
