import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/**
 * The configuration that is currently applied. While the process runs, its version only increases.
 */
export class ActiveConfiguration {
  #table: RouteTable | undefined;
  #isNewestUnreadable = false;

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Whether the store's newest configuration cannot be decoded, so that the active one is older. */
  get isNewestUnreadable(): boolean {
    return this.#isNewestUnreadable;
  }

  /** Records whether the configuration that the store returned as the newest can be decoded. */
  recordNewestReadable(isReadable: boolean): void {
    this.#isNewestUnreadable = !isReadable;
  }

  /** Activates a configuration; returns false if its version is not newer. */
  apply(configuration: RoutingConfiguration): boolean {
    if (this.#table && configuration.version <= this.#table.version) return false;
    this.#table = new RouteTable(configuration);
    return true;
  }
}
