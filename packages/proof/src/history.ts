import type { ResultName } from '@poppypond/core';

/** One completion call of one caller, as the caller saw it. */
export interface CompletionCall {
  readonly gateway: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly limitMs: number;
  readonly requestId: string;
  readonly code: ResultName | 'lost';
  readonly text: string;
  readonly expected: string;
  /** Index of the first token that was asked for. */
  readonly offset: number;
  /** The caller itself closed the connection. */
  readonly isCancelled: boolean;
}

/** One call to a plain service, as the caller saw it. */
export interface ServiceCall {
  readonly gateway: string;
  readonly key: string;
  readonly requestId: string;
  /** `ok`, a result code, or `lost` where no final word was received. */
  readonly code: ResultName | 'lost';
  readonly receipt: number | undefined;
}

/** One call that a plain service ran, from its ground truth. */
export interface ServiceRun {
  readonly requestId: string;
  readonly body: string;
  readonly receipt: number;
}

/** The revision in force on one run of one host, as it was observed. */
export interface ObservedRevision {
  readonly host: string;
  readonly incarnation: string;
  readonly atMs: number;
  readonly revision: number;
}

/** A change that an operator was told is accepted. */
export interface AcceptedRevision {
  readonly atMs: number;
  readonly revision: number;
}
