package agent

import (
	"context"
)

func (g *group) loadRequest(version uint64) mapLoad {
	load := mapLoad{Version: version, Bytes: g.maps.loadBytes(g.lastMap, version)}
	if content := g.maps.content(version); content != nil {
		load.Slots = content.GetSlots()
	}
	return load
}

// startLoad begins to load a map unless that is under way already. The agent asks again
// with each new connection to the engine: with a loader for each, an engine that comes
// and goes would be asked by ever more of them, and the weight store through it.
func (g *group) startLoad(ctx context.Context, version uint64) {
	if g.loaders[version] {
		return
	}
	g.loaders[version] = true
	go g.load(ctx, version, g.loadRequest(version), g.connections)
}

// loaded takes the end of a load. One that began before the connection that stands now
// may have been for an engine that has lost its weights since.
func (g *group) loaded(ctx context.Context, version, connection uint64) {
	delete(g.loaders, version)
	if connection != g.connections {
		g.startLoad(ctx, version)
		return
	}
	g.lastMap = version
	g.agent.MapLoaded(engineNumber, version)
}

// load has the engine fetch the weights of a map. It uses a connection of its own:
// loading takes long, and orders must not wait behind it.
func (g *group) load(ctx context.Context, version uint64, body mapLoad, connection uint64) {
	err := g.backend.loadMap(ctx, body)
	if err == nil {
		g.post(ctx, func() { g.loaded(ctx, version, connection) })
		return
	}
	_ = g.logger.Log("msg", "A map could not be loaded.", "result", backendFailed, "map", version, "err", err)
	wait(ctx, giverRetry)
	g.post(ctx, func() { g.loadFailed(ctx, version) })
}

// loadFailed tries again while anybody needs the map.
func (g *group) loadFailed(ctx context.Context, version uint64) {
	delete(g.loaders, version)
	if g.agent.LoadFailed(engineNumber, version) {
		g.startLoad(ctx, version)
	}
}
