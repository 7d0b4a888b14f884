import type { Milliseconds } from '@poppypond/core';

interface UnresponsiveServer {
  readonly attemptId: string;
  readonly sinceMs: Milliseconds;
  readonly reportedAtMs: Milliseconds;
}

/**
 * Reports with a longer gap do not belong to the same silence. An unresponsive server is reported
 * at least every 1.6 s.
 */
const MAX_REPORT_GAP_MS: Milliseconds = 2000;

/** The servers that were reported as unresponsive while no retry of one request was allowed. */
export class UnresponsiveServers {
  readonly #servers = new Map<string, UnresponsiveServer>();

  /**
   * Records a report during an attempt; returns for how long the server has been unresponsive.
   * `lastEventAtMs`: when the attempt's last event arrived.
   */
  report(
    serverId: string,
    attemptId: string,
    nowMs: Milliseconds,
    lastEventAtMs: Milliseconds,
  ): Milliseconds {
    const known = this.#servers.get(serverId);
    const isContinued =
      known?.attemptId === attemptId &&
      nowMs - known.reportedAtMs <= MAX_REPORT_GAP_MS &&
      lastEventAtMs <= known.sinceMs;
    const sinceMs = isContinued ? known.sinceMs : nowMs;
    this.#servers.set(serverId, { attemptId, sinceMs, reportedAtMs: nowMs });
    return nowMs - sinceMs;
  }
}
