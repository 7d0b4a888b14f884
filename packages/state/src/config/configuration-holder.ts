import { Configuration } from '@poppypond/objects';
import type { ObjectChange } from '@poppypond/objects';

/**
 * Called after the active configuration has changed; `changes` is undefined if it was replaced as a
 * whole.
 */
export type ConfigurationListener = (
  configuration: Configuration,
  changes: readonly ObjectChange[] | undefined,
) => void;

/** Holds the active configuration of this host. Its revision only increases. */
export class ConfigurationHolder {
  #current = Configuration.empty;
  readonly #listeners = new Set<ConfigurationListener>();

  get current(): Configuration {
    return this.#current;
  }

  onChange(listener: ConfigurationListener): void {
    this.#listeners.add(listener);
  }

  /** Replaces the whole configuration. Returns false if `next` is not newer. */
  replace(next: Configuration): boolean {
    if (next.revision <= this.#current.revision) return false;
    this.#activate(next, undefined);
    return true;
  }

  /**
   * Applies the changes that follow revision `after`. They must be contiguous with the current
   * revision: `gap` tells the caller to request the missing changes. `old`: all are applied
   * already.
   */
  advance(after: number, changes: readonly ObjectChange[]): 'advanced' | 'old' | 'gap' {
    const newChanges = changes.filter((change) => change.revision > this.#current.revision);
    if (newChanges.length === 0) return 'old';
    if (after > this.#current.revision) return 'gap';
    this.#activate(this.#current.advance(newChanges), newChanges);
    return 'advanced';
  }

  #activate(next: Configuration, changes: readonly ObjectChange[] | undefined): void {
    this.#current = next;
    for (const listener of this.#listeners) listener(next, changes);
  }
}
