import type { Clock } from '@poppypond/core';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { RelaySettings } from '../settings.js';
import { ForwardingPeers } from './forwarding-peers.js';
import { PathConnector } from './path-connector.js';
import { Reachability } from './reachability.js';
import type { ServerConnector } from './server-connector.js';

/** What opens connections to servers. */
export interface Connections {
  readonly reachability: Reachability;
  readonly forwardingPeers: ForwardingPeers;
  readonly connector: ServerConnector;
}

/** Dependencies of `composeConnections`. */
export interface ConnectionsParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly random: () => number;
}

/** Creates what opens connections to servers; the peers that forward are set later. */
export function composeConnections(
  { availabilityZone, zoneRegions }: RelaySettings,
  parts: ConnectionsParts,
): Connections {
  const { clock, metrics, random } = parts;
  const reachability = new Reachability(parts);
  const place = { availabilityZone, regions: zoneRegions };
  const forwardingPeers = new ForwardingPeers({ clock, random, ...place });
  const connector = new PathConnector({ clock, metrics, reachability, peers: forwardingPeers });
  return { connector, forwardingPeers, reachability };
}
