import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** The configuration that decides now. Within one life of the process its version only rises. */
export class ActiveConfiguration {
  #table: RouteTable | undefined;

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#table?.version ?? 0;
  }

  /** Puts a newer version in force; false where it is not newer. */
  apply(configuration: RoutingConfiguration): boolean {
    if (this.#table && configuration.version <= this.#table.version) return false;
    this.#table = new RouteTable(configuration);
    return true;
  }
}
