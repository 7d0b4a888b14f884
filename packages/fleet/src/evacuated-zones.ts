/** The evacuated availability zones as of one version of the store. */
export interface EvacuationSet {
  /** Increases with every change in the store. */
  readonly version: number;
  /** Names of the zones, without duplicates. */
  readonly zones: readonly string[];
}

/** Whether one zone is evacuated, as of the version up to which changes were read. */
export interface ZoneEvacuation {
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/** Zones whose state differs between two sets. */
export interface EvacuationChange {
  /** Zones that are evacuated now and were not before. */
  readonly evacuated: readonly string[];
  /** Zones whose evacuation was withdrawn. */
  readonly reopened: readonly string[];
}

/**
 * The availability zones that backend servers must be sent nothing new in. The whole set has one
 * version of the store; a newer set replaces an older one, so that information that arrives late,
 * more than once or out of order has no effect.
 */
export class EvacuatedZones {
  #version: number | undefined;
  #zones: ReadonlySet<string> = new Set();
  readonly #listeners: ((change: EvacuationChange) => void)[] = [];

  /** `isEnabled`: whether evacuations are followed; if not, no set is ever applied. */
  constructor(readonly isEnabled = false) {}

  /**
   * Whether it is known which zones are evacuated. A host that has received no set must not take
   * this for "none".
   */
  get isKnown(): boolean {
    return !this.isEnabled || this.#version !== undefined;
  }

  /** The newest known set; undefined before the first. */
  get current(): EvacuationSet | undefined {
    if (this.#version === undefined) return undefined;
    return { version: this.#version, zones: [...this.#zones] };
  }

  /** Number of evacuated zones. */
  get size(): number {
    return this.#zones.size;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** Calls `listener` after each change, the first set included. */
  onChange(listener: (change: EvacuationChange) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Calls `listener` with the zones whose evacuation was withdrawn, when this host learns of it.
   */
  onReopened(listener: (zones: readonly string[]) => void): void {
    this.onChange(({ reopened }) => {
      if (reopened.length > 0) listener(reopened);
    });
  }

  /** Applies a whole set if it is newer. Returns what changed; undefined if no zone did. */
  replace({ version, zones }: EvacuationSet): EvacuationChange | undefined {
    if (!this.isEnabled) return undefined;
    if (this.#version !== undefined && version <= this.#version) return undefined;
    const after = new Set(zones);
    const change: EvacuationChange = {
      evacuated: [...after].filter((zone) => !this.#zones.has(zone)),
      reopened: [...this.#zones].filter((zone) => !after.has(zone)),
    };
    this.#version = version;
    this.#zones = after;
    if (change.evacuated.length === 0 && change.reopened.length === 0) return undefined;
    for (const listener of this.#listeners) listener(change);
    return change;
  }

  /**
   * Applies what changed in the store after `sinceVersion` and up to `version`. The known set may
   * be newer than `sinceVersion`: changes that it already contains change nothing. Without a set
   * that is at least as new as `sinceVersion` the result is unknown, and nothing is applied.
   */
  update(
    sinceVersion: number,
    version: number,
    changes: readonly ZoneEvacuation[],
  ): EvacuationChange | undefined {
    if (this.#version === undefined || this.#version < sinceVersion) return undefined;
    const zones = new Set(this.#zones);
    for (const { zone, isEvacuated } of changes) {
      if (isEvacuated) zones.add(zone);
      else zones.delete(zone);
    }
    return this.replace({ version, zones: [...zones] });
  }
}
