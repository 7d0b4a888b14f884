import type { ResultName } from '@poppypond/core';

/** A completion call as its caller observed it. */
export interface CompletionCall {
  readonly gateway: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly limitMs: number;
  readonly requestId: string;
  readonly code: ResultName | 'lost';
  readonly text: string;
  readonly expected: string;
  /** Index of the first requested token. */
  readonly offset: number;
  /** Whether the caller itself closed the connection. */
  readonly isCancelled: boolean;
}

/** A call to a plain service as its caller observed it. */
export interface ServiceCall {
  readonly gateway: string;
  readonly key: string;
  readonly requestId: string;
  /** `ok`, another result code, or `lost` if no final response was received. */
  readonly code: ResultName | 'lost';
  readonly receipt: number | undefined;
}

/** A call that a plain service ran, from its ground truth. */
export interface ServiceRun {
  readonly requestId: string;
  readonly body: string;
  readonly receipt: number;
}

/** The revision that was observed to be active on one incarnation of a host. */
export interface ObservedRevision {
  readonly host: string;
  readonly incarnation: string;
  readonly atMs: number;
  readonly revision: number;
}

/** A change whose acceptance was confirmed to an operator. */
export interface AcceptedRevision {
  readonly atMs: number;
  readonly revision: number;
}
