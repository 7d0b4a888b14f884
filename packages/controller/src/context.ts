import type { Clock, Owner } from '@poppypond/core';
import type { ConfigurationReader, DecisionLog, ObjectStore, TableStore } from '@poppypond/state';
import type { Log, Metrics } from '@poppypond/telemetry';
import type { ControllerSettings } from './settings.js';

/** Dependencies shared by the components of the controller. */
export interface ControllerContext {
  readonly settings: ControllerSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly owner: Owner;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly reader: ConfigurationReader;
  readonly decisions: DecisionLog;
}
