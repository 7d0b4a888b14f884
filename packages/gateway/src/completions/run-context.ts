import type { AttemptCall, AttemptEnd, AttemptListener } from '@poppypond/backend';
import type { Clock, Fault, Owner } from '@poppypond/core';
import type {
  Charge,
  EngineLoad,
  RetryBudget,
  ServerHealth,
  TokenCorrection,
} from '@poppypond/policy';
import type { Log, Metrics } from '@poppypond/telemetry';
import type { Result } from 'true-myth';
import type { PlacementOutcome, PlacementRequest } from '../engines/dispatcher.js';
import type { HostQuarantine } from '../quarantine/host-quarantine.js';

/** Runs one attempt on one engine. */
export type AttemptRunner = (
  call: AttemptCall,
  listener: AttemptListener,
  signal: AbortSignal,
) => Promise<AttemptEnd>;

/** An engine on which requests are placed. */
export interface PlacedEngine {
  readonly name: string;
  readonly url: string;
  readonly load: EngineLoad;
  readonly health: ServerHealth;
}

/** Dependencies of a `CompletionRun`. */
export interface RunContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly owner: Owner;
  readonly zone: string;
  /**
   * Whether requests wait at this host for free memory. If so, engines refuse at once a request
   * for which they have no memory.
   */
  readonly usesLateBinding: boolean;
  readonly dispatcher: {
    place(request: PlacementRequest): Promise<Result<PlacementOutcome, Fault>>;
  };
  readonly lanes: { readonly cutOffText: string };
  readonly retries: RetryBudget;
  readonly quarantine: HostQuarantine;
  readonly correction: TokenCorrection;
  readonly runAttempt: AttemptRunner;
  /** Weight of a workspace in the wait queue. */
  weightOf(workspace: string): number;
  /** Number of leading prompt tokens that an engine probably has in its prefix cache. */
  cachedTokens(engineId: string, prefix: readonly string[]): number;
  /** Refunds or charges the difference between a request's actual cost and its charge. */
  settle(charge: Charge, actualUnits: number): void;
}
