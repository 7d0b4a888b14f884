import type { Clock, Owner } from '@poppypond/core';
import type {
  PredictedStartPlacement,
  RandomSource,
  RetryAllowance,
  TokenCorrection,
} from '@poppypond/policy';
import type { AtMostOnceLedger, ConfigurationHolder, DecisionLog } from '@poppypond/state';
import type { Log, Metrics } from '@poppypond/telemetry';
import type { Dispatcher } from './engines/dispatcher.js';
import type { EngineDirectory } from './engines/engine-directory.js';
import type { LaneTuner } from './engines/lane-tuner.js';
import type { ReservationKeeper } from './engines/reservation-keeper.js';
import type { Lifecycle } from './lifecycle/lifecycle.js';
import type { ServiceDirectory } from './services/service-directory.js';
import type { ShareKeeper } from './shares/share-keeper.js';
import type { GatewaySettings } from './settings.js';

/** What the request handlers of one gateway share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly owner: Owner;
  readonly random: RandomSource;
  readonly configuration: ConfigurationHolder;
  readonly engines: EngineDirectory;
  readonly services: ServiceDirectory;
  readonly dispatcher: Dispatcher;
  readonly lanes: LaneTuner;
  readonly predictedStart: PredictedStartPlacement | undefined;
  readonly reservations: ReservationKeeper;
  readonly shares: ShareKeeper;
  readonly correction: TokenCorrection;
  readonly retries: RetryAllowance;
  readonly decisions: DecisionLog;
  readonly ledger: AtMostOnceLedger;
  readonly lifecycle: Lifecycle;
  /** Whether this host is cut off from both the table and all peers for too long. */
  isCutOff(): boolean;
  /** How many hosts share the engines. */
  hostCount(): number;
}
