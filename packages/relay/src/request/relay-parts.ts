import type { Clock } from '@poppypond/core';
import type { FleetView, RetryBudget, TurnedAway } from '@poppypond/fleet';
import type { ConfigurationInForce, Freshness } from '@poppypond/routing';
import type { Log, Measures } from '@poppypond/telemetry';
import type { Permits } from '../notices/permits.js';
import type { SendGate } from '../notices/send-gate.js';
import type { ServerNotices } from '../notices/server-notices.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import type { PauseWatch } from '../pause-watch.js';
import type { Placing } from '../planning/placing.js';
import type { EngineMemory, RelayWire } from '../ports.js';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { KeyTrust } from '../store/key-trust.js';
import type { ServerList } from '../store/server-list.js';

/** What every request of a relay shares. */
export interface RelayParts {
  readonly clock: Clock;
  readonly host: string;
  readonly log: Log;
  readonly measures: Measures;
  readonly wire: RelayWire;
  readonly memory: EngineMemory;
  readonly inForce: ConfigurationInForce;
  readonly freshness: Freshness;
  readonly keyTrust: KeyTrust;
  readonly pauses: PauseWatch;
  readonly quarantine: SharedQuarantine;
  readonly notices: ServerNotices;
  readonly gate: SendGate;
  readonly permits: Permits;
  readonly turnedAway: TurnedAway;
  readonly fleet: FleetView;
  readonly servers: ServerList;
  readonly peers: PeerMesh;
  readonly placing: Placing;
  readonly budget: RetryBudget;
  /** Uniform random numbers in [0, 1). */
  readonly draw: () => number;
}
