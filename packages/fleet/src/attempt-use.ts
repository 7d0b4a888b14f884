import type { Milliseconds } from '@poppypond/core';

/** Tokens of memory that are held on one engine for a request. */
export interface ReservedTokens {
  readonly engineId: string;
  readonly tokens: number;
}

/** What one attempt of a request takes up, on the engine that writes and on those that help read. */
export interface AttemptUse {
  readonly attemptId: string;
  /** The host that placed it. */
  readonly host: string;
  readonly writerId: string;
  /** Engines that read a part of the prompt for the writer. */
  readonly readerIds: readonly string[];
  /** Time that each engine concerned spends reading. */
  readonly partMs: Milliseconds;
  /** Whether its first event has not come yet. */
  readonly isPrefilling: boolean;
  /** When it was placed, on this process's clock. */
  readonly placedAtMs: Milliseconds;
  /** Tokens in the writer's memory. */
  readonly contextTokens: number;
  /** Memory on other engines, for prompts above one engine's memory. */
  readonly held: readonly ReservedTokens[];
  /** The longest pause that its caller takes. */
  readonly gapAimMs: Milliseconds;
  /** When it is dropped from the view whatever was heard, on this process's clock. */
  readonly expiresAtMs: Milliseconds;
}
