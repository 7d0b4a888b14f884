import type { Clock } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { PrometheusMetrics } from '@poppypond/telemetry';
import { ConnectionRace } from './connection-race.js';
import type { ForwardingPeers } from './forwarding-peers.js';
import type { Reachability } from './reachability.js';
import type { Connected, ServerConnector } from './server-connector.js';

/** Dependencies of `PathConnector`. */
export interface PathConnectorParts {
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly reachability: Reachability;
  readonly peers: ForwardingPeers;
}

/** Connects to servers from this host, or through a peer where this host does not reach them. */
export class PathConnector implements ServerConnector {
  constructor(readonly parts: PathConnectorParts) {}

  connect(server: BackendServer, signal: AbortSignal): Promise<Connected> {
    return new ConnectionRace(this.parts, server).run(signal);
  }
}
