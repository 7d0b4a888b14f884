import type { Milliseconds } from '@poppypond/core';

/**
 * How often a request of a route may run. `safe`: any number of times, as repetition has no side
 * effects. `unsafe`: once. `stream`: answered by events; may be repeated only if the route is
 * resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that a route sends requests to, with its share of the traffic. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** The targets of requests with one host name and path prefix, and how they are handled. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be resumed on another backend server. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Time limit of a request. */
  readonly timeoutMs: Milliseconds;
  /** Latency target of an answer, or of the first event of a stream; a late one has less value. */
  readonly aimMs: Milliseconds;
  /** Target of the gap between events: the longest one with which a stream is still in time. */
  readonly gapAimMs: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests are accepted without an API key. */
  readonly isAuthExempt: boolean;
  /** Regions whose servers may take its requests; any region if undefined. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Parameters of the timing model of a model engine. See docs/ENGINE-TIMES.md. */
export interface EngineFigures {
  /** Number of requests that are decoded concurrently. */
  readonly slots: number;
  /** Capacity of the KV cache in tokens of prompts and answers. */
  readonly memoryTokens: number;
  /** Decode steps per pass; each step produces one token for every writer. */
  readonly stepsPerPass: number;
  /** Fixed time of a step. */
  readonly stepMs: Milliseconds;
  /** Added to each step for every writer. */
  readonly stepMsPerSequence: Milliseconds;
  /** Added to each step for every thousand context tokens of its writers. */
  readonly stepMsPerThousandTokens: Milliseconds;
  readonly prefillTokensPerMs: number;
  /** Maximum number of prompt tokens per step. */
  readonly prefillTokensPerStep: number;
  /** Added to the prefill for every million attention pairs of a token and an earlier one. */
  readonly prefillMsPerMillionPairs: Milliseconds;
  readonly usualAnswerTokens: number;
}

/** How little a server bears for a while after its start. */
export interface ColdStart {
  /** Time for which a server stays cold after a start. */
  readonly durationMs: Milliseconds;
  /** Requests per second that a cold server bears, from all hosts together. */
  readonly requestsPerSecond: number;
}

/** A service that routes send requests to. */
export interface ServiceDescription {
  readonly name: string;
  /** Timing parameters of the model engines; undefined for a plain service. */
  readonly engine: EngineFigures | undefined;
  /** Undefined if its servers bear their full load from the start. */
  readonly coldStart?: ColdStart | undefined;
  /** Connections that each server accepts from all hosts together; unbounded if undefined. */
  readonly maxConnections?: number | undefined;
}

/** A workspace and the API keys that identify its callers. */
export interface WorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Regions whose servers may take its requests; any region if undefined. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits on the size of requests and the time to send them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/**
 * One version of the operators' configuration. Versions increase, but are not necessarily
 * consecutive.
 */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDescription[];
  /** Whether callers need a key, also if no workspace has one; routes may be exempt. */
  readonly requiresKeys: boolean;
  readonly workspaces: readonly WorkspaceKeys[];
  readonly limits: CallerLimits;
}

/** A configuration without the entries that cannot be decoded. */
export interface DecodedConfiguration {
  readonly configuration: RoutingConfiguration;
  /** Which entries cannot be decoded, and why. */
  readonly unreadableEntries: readonly string[];
}
