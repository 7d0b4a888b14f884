import type { RouteTable } from '@poppypond/routing';
import type { RelayBase } from '../compose.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { ConfigurationWatch } from './configuration-watch.js';
import { ServerWatch } from './server-watch.js';
import type { StoreTurns } from './store-turns.js';

/** Starts the watches of the store. A store reader publishes what is new to its peers. */
export function startWatches(
  base: RelayBase,
  peers: PeerMesh,
  turns: StoreTurns,
  onConfiguration: (table: RouteTable) => void,
): () => void {
  const { clock, log, syncState, activeConfiguration, evacuations, freshness, servers } = base;
  const { coldNotices, store, unexpectedErrors } = base;
  const { rows } = base.ports;
  const { configurationWithinMs, evacuateWithinMs, leavingWithinMs } = base.settings;
  const shared = { clock, log, unexpectedErrors, store, rows, syncState, turns };
  const publishStoreState = () => {
    if (peers.isReader()) peers.publishStoreState();
  };
  const configurationWatch = new ConfigurationWatch({
    ...shared,
    withinMs: Math.min(configurationWithinMs, evacuateWithinMs ?? Number.POSITIVE_INFINITY),
    activeConfiguration,
    evacuations,
    freshness,
    onChange: (table) => {
      onConfiguration(table);
      publishStoreState();
    },
  });
  const serverWatch = new ServerWatch({
    ...shared,
    withinMs: leavingWithinMs,
    list: servers,
    onEntries: (entries) => {
      coldNotices.recordEntries(entries, clock.monotonicMs());
    },
    onChange: publishStoreState,
  });
  evacuations.onRead(() => {
    peers.publishEvacuations();
  });
  syncState.onConfigurationReceived((bytes) => {
    configurationWatch.applyFromPeer(bytes);
  });
  syncState.onRefreshNeeded(() => {
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
