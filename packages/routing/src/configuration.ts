import type { Milliseconds } from '@poppypond/core';

/**
 * How often a request of a route may run. `safe`: repeating does no harm. `unsafe`: once.
 * `stream`: answered by events; may be repeated only where the route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** One service that a route leads to, with its share of the traffic. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of one host name and path prefix go, and how they are treated. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be taken up at another backend server. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** The most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** The longest that a request may be held. */
  readonly timeoutMs: Milliseconds;
  /** The time in which an answer, or the first event of a stream, is worth most. */
  readonly aimMs: Milliseconds;
  /** The longest pause between events with which a stream is still in time. */
  readonly gapAimMs: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isAuthExempt: boolean;
}

/** The figures from which an engine's times follow. See docs/ENGINE-TIMES.md. */
export interface EngineFigures {
  /** Requests that write at once. */
  readonly slots: number;
  /** Tokens of prompts and answers that fit into the engine's memory. */
  readonly memoryTokens: number;
  /** Steps in one pass; each writes one token for every writer. */
  readonly stepsPerPass: number;
  readonly stepMs: Milliseconds;
  readonly stepMsPerSequence: Milliseconds;
  /** Added to each step for every thousand tokens that its writers have in memory. */
  readonly stepMsPerThousandTokens: Milliseconds;
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that one step takes in at most. */
  readonly prefillTokensPerStep: number;
  /** Added to reading for every million pairs of a token and an earlier one. */
  readonly prefillMsPerMillionPairs: Milliseconds;
  readonly usualAnswerTokens: number;
}

/** A service that routes lead to. Model engines have figures, plain services have none. */
export interface ServiceDescription {
  readonly name: string;
  readonly engine: EngineFigures | undefined;
}

/** A workspace and the keys by which its callers are known. */
export interface WorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** One version of everything that operators set. Versions rise; they need not be consecutive. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  /** Empty where callers need no keys. */
  readonly workspaces: readonly WorkspaceKeys[];
  readonly limits: CallerLimits;
}
