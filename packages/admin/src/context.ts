import type { Clock } from '@poppypond/core';
import type { ConfigurationReader, ConfigurationWriter, TableStore } from '@poppypond/state';
import type { Log } from '@poppypond/telemetry';
import type { AdminSettings } from './settings.js';

/** Dependencies shared by the HTTP handlers of the admin program. */
export interface AdminContext {
  readonly settings: AdminSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly table: TableStore;
  readonly reader: ConfigurationReader;
  readonly writer: ConfigurationWriter;
}
