import { Configuration } from '@poppypond/objects';
import type { ObjectChange } from '@poppypond/objects';

/** Called after the configuration in force has changed. */
export type ConfigurationListener = (
  configuration: Configuration,
  changes: readonly ObjectChange[] | undefined,
) => void;

/** The configuration in force on this host. Its revision only rises. */
export class ConfigurationHolder {
  #current = Configuration.empty;
  readonly #listeners = new Set<ConfigurationListener>();

  get current(): Configuration {
    return this.#current;
  }

  onChange(listener: ConfigurationListener): void {
    this.#listeners.add(listener);
  }

  /** Takes a whole configuration; false if it isn't newer. */
  replace(next: Configuration): boolean {
    if (next.revision <= this.#current.revision) return false;
    this.#activate(next, undefined);
    return true;
  }

  /**
   * Takes the changes that follow `after`. They must join on without a gap:
   * `gap` tells the caller to ask for what is missing.
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
