import type { RandomSource } from '@poppypond/policy';
import type { AtMostOnceLedger, ConfigurationHolder, DecisionLog } from '@poppypond/state';
import type { RunContext } from './completions/run-context.js';
import type { Dispatcher } from './engines/dispatcher.js';
import type { EngineDirectory } from './engines/engine-directory.js';
import type { LaneTuner } from './engines/lane-tuner.js';
import type { ReservationManager } from './engines/reservation-manager.js';
import type { Mutex } from './groups/mutex.js';
import type { Lifecycle } from './lifecycle/lifecycle.js';
import type { ServiceDirectory } from './services/service-directory.js';
import type { ShareManager } from './shares/share-manager.js';
import type { GatewaySettings } from './settings.js';

/** Dependencies that the request handlers of one gateway share. */
export interface GatewayContext extends RunContext {
  readonly settings: GatewaySettings;
  readonly random: RandomSource;
  readonly configuration: ConfigurationHolder;
  readonly engines: EngineDirectory;
  readonly services: ServiceDirectory;
  readonly dispatcher: Dispatcher;
  readonly lanes: LaneTuner;
  readonly reservations: ReservationManager;
  /** Serializes the memory reservations of this host's groups. */
  readonly groupReservationMutex: Mutex;
  readonly shares: ShareManager;
  readonly decisions: DecisionLog;
  readonly ledger: AtMostOnceLedger;
  readonly lifecycle: Lifecycle;
  /** Whether no peer is linked and the table has not responded for `notReadyAfterMs`. */
  isIsolated(): boolean;
  /** Number of hosts that share the engines, this one included. */
  hostCount(): number;
}
