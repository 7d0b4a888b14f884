import type { Milliseconds } from '@poppypond/core';

/** What is told about one read. */
export interface ReadReport {
  readonly bytes: number;
  /** Heads and chunks of bodies in it. */
  readonly partCount: number;
  /** Time that its parsing took, with what was done at once with the requests in it. */
  readonly parsingMs: Milliseconds;
}

/** What the owner of a connection is told. */
export interface ConnectionObserver {
  /** A request was read. */
  readonly onRequest: () => void;
  /** The cost may have changed. */
  readonly onCost: () => void;
  /** A read has brought very many chunks of a body. */
  readonly onManyChunks: () => void;
}
