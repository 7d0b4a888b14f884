import type { Milliseconds } from '@poppypond/core';
import { DecayedRate } from './decayed-rate.js';

/** Half-life of the engine time counted for a workspace: about two targets of long prompts. */
const HALF_LIFE_MS: Milliseconds = 8000;
/** A workspace that was granted nothing for this long counts as not served lately. */
const FORGOTTEN_AFTER_MS: Milliseconds = 60_000;
const MAX_WORKSPACES = 512;

/** Engine time that a workspace was granted per second. */
export interface WorkspaceGrant {
  readonly workspace: string;
  readonly engineMsPerSecond: number;
}

/** Engine time that each workspace was granted lately. */
export class GrantedTime {
  /** The least recently served first. */
  readonly #byWorkspace = new Map<string, DecayedRate>();

  add(workspace: string, engineMs: Milliseconds, nowMs: Milliseconds): void {
    this.#rateOf(workspace, nowMs).add(engineMs, nowMs);
  }

  /** Engine milliseconds per second granted to a workspace. */
  perSecond(workspace: string, nowMs: Milliseconds): number {
    return this.#byWorkspace.get(workspace)?.perSecond(nowMs) ?? 0;
  }

  /** The `most` workspaces that were granted the most. */
  largest(most: number, nowMs: Milliseconds): readonly WorkspaceGrant[] {
    return [...this.#byWorkspace]
      .map(([workspace, rate]) => ({ workspace, engineMsPerSecond: rate.perSecond(nowMs) }))
      .sort((left, right) => right.engineMsPerSecond - left.engineMsPerSecond)
      .slice(0, most);
  }

  /** Takes over what another host has granted; ignores workspaces that are known here. */
  restore(grants: readonly WorkspaceGrant[], nowMs: Milliseconds): void {
    for (const { workspace, engineMsPerSecond } of grants) {
      if (this.#byWorkspace.has(workspace)) continue;
      this.#rateOf(workspace, nowMs).restore(engineMsPerSecond, nowMs);
    }
  }

  #rateOf(workspace: string, nowMs: Milliseconds): DecayedRate {
    const rate = this.#byWorkspace.get(workspace) ?? new DecayedRate(HALF_LIFE_MS);
    this.#byWorkspace.delete(workspace);
    for (const [other, { lastAtMs = 0 }] of this.#byWorkspace) {
      const isOld = nowMs - lastAtMs > FORGOTTEN_AFTER_MS;
      if (!isOld && this.#byWorkspace.size < MAX_WORKSPACES) break;
      this.#byWorkspace.delete(other);
    }
    this.#byWorkspace.set(workspace, rate);
    return rate;
  }
}
