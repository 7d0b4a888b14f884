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

/** An engine as a request that was placed on it sees it. */
export interface PlacedEngine {
  readonly name: string;
  readonly url: string;
  readonly load: EngineLoad;
  readonly health: ServerHealth;
}

/** What one request needs of its gateway. */
export interface RunContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly owner: Owner;
  readonly zone: string;
  /** Whether engines refuse at once what they have no memory for. */
  readonly usesLateBinding: boolean;
  readonly dispatcher: {
    place(request: PlacementRequest): Promise<Result<PlacementOutcome, Fault>>;
  };
  readonly lanes: { readonly cutOffText: string };
  readonly retries: RetryBudget;
  readonly quarantine: HostQuarantine;
  readonly correction: TokenCorrection;
  readonly runAttempt: AttemptRunner;
  /** A workspace's weight in the wait queue. */
  weightOf(workspace: string): number;
  /** Leading tokens of a prompt that an engine probably has in its cache. */
  cachedTokens(engineId: string, prefix: readonly string[]): number;
  /** Gives back or charges what a request cost more or less than was charged before. */
  settle(charge: Charge, actualUnits: number): void;
}
