import type { Clock } from '@poppypond/core';
import type { FleetView, RetryBudget, RecentRejections } from '@poppypond/fleet';
import type { ActiveConfiguration, Freshness } from '@poppypond/routing';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { Reachability } from '../connections/reachability.js';
import type { ServerConnector } from '../connections/server-connector.js';
import type { HostBudget } from '../host/host-budget.js';
import type { PermitClient } from '../notices/permit-client.js';
import type { SendGate } from '../notices/send-gate.js';
import type { ServerNotices } from '../notices/server-notices.js';
import type { SpeedNotices } from '../notices/speed-notices.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import type { PauseDetector } from '../pause-detector.js';
import type { PlacementClient } from '../planning/placement-client.js';
import type { EngineMemory, RelayWire } from '../ports.js';
import type { PartQuarantine } from '../quarantine/part-quarantine.js';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { ConfirmedZones } from '../store/confirmed-zones.js';
import type { Evacuations } from '../store/evacuations.js';
import type { KeyTrust } from '../store/key-trust.js';
import type { ServerList } from '../store/server-list.js';
import type { UnexpectedErrors } from '../unexpected-errors.js';
import type { PlannedStop } from './planned-stop.js';

/** Dependencies that all requests of a relay share. */
export interface RelayParts {
  readonly clock: Clock;
  readonly host: string;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly unexpectedErrors: UnexpectedErrors;
  readonly stop: PlannedStop;
  readonly wire: RelayWire;
  readonly memory: EngineMemory;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly keyTrust: KeyTrust;
  readonly pauseDetector: PauseDetector;
  readonly hostBudget: HostBudget;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly notices: ServerNotices;
  readonly speedNotices: SpeedNotices;
  readonly reachability: Reachability;
  readonly connector: ServerConnector;
  readonly evacuations: Evacuations;
  readonly confirmedZones: ConfirmedZones;
  readonly gate: SendGate;
  readonly permits: PermitClient;
  readonly recentRejections: RecentRejections;
  readonly fleet: FleetView;
  readonly servers: ServerList;
  readonly peers: PeerMesh;
  readonly placement: PlacementClient;
  readonly budget: RetryBudget;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}
