import type { RouteTable } from '@poppypond/routing';
import type { RelayBase } from '../compose.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { ConfigurationWatch } from './configuration-watch.js';
import { ServerWatch } from './server-watch.js';

/** Starts to follow the store, and tells peers what is new where this host reads for them. */
export function startWatches(
  base: RelayBase,
  peers: PeerMesh,
  onConfiguration: (table: RouteTable) => void,
): () => void {
  const { clock, log, knowledge, inForce, freshness, servers } = base;
  const { store, rows } = base.ports;
  const { configurationWithinMs, leavingWithinMs } = base.settings;
  const isReader = () => peers.isReader();
  const shared = { clock, log, store, rows, knowledge, isReader };
  const tellNews = () => {
    if (isReader()) peers.tellNews();
  };
  const configurationWatch = new ConfigurationWatch({
    ...shared,
    withinMs: configurationWithinMs,
    inForce,
    freshness,
    onChange: (table) => {
      onConfiguration(table);
      tellNews();
    },
  });
  const serverWatch = new ServerWatch({
    ...shared,
    withinMs: leavingWithinMs,
    list: servers,
    onChange: tellNews,
  });
  knowledge.onConfiguration((bytes) => {
    configurationWatch.takeTold(bytes);
  });
  knowledge.onNews(() => {
    configurationWatch.wake();
    serverWatch.wake();
  });
  void configurationWatch.run();
  void serverWatch.run();
  return () => {
    configurationWatch.stop();
    serverWatch.stop();
  };
}
