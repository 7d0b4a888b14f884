import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/**
 * The configuration that is currently applied. While the process runs, its version only increases.
 */
export class ActiveConfiguration {
  #table: RouteTable | undefined;

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Activates a configuration; returns false if its version is not newer. */
  apply(configuration: RoutingConfiguration): boolean {
    if (this.#table && configuration.version <= this.#table.version) return false;
    this.#table = new RouteTable(configuration);
    return true;
  }
}
