import type { Milliseconds } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import type { HttpCall, HttpResponse } from '@poppypond/web';
import { Result } from 'true-myth';
import type { StoreFault } from './table-store.js';

/** Numbers of calls, which count toward the platform's budget. */
export interface StoreCallCounts {
  reads: number;
  writes: number;
  failures: number;
}

/** HTTP calls to the platform, counted and with one timeout for all. */
export class PlatformConnection {
  readonly calls: StoreCallCounts = { reads: 0, writes: 0, failures: 0 };

  constructor(
    readonly url: string,
    readonly timeoutMs: Milliseconds,
  ) {}

  /**
   * Makes a call. A status that is not in `accepted` is an `unavailable` fault: nothing was
   * changed.
   */
  async call(
    call: Omit<HttpCall, 'url' | 'timeoutMs'>,
    path: string,
    accepted: readonly number[],
  ): Promise<Result<HttpResponse, StoreFault>> {
    const isWrite = call.method !== 'GET';
    if (isWrite) this.calls.writes += 1;
    else this.calls.reads += 1;
    const reply = await callHttp({ ...call, url: `${this.url}${path}`, timeoutMs: this.timeoutMs });
    if (reply.isOk && accepted.includes(reply.value.status)) return Result.ok(reply.value);
    this.calls.failures += 1;
    if (reply.isOk) {
      return Result.err({
        reason: 'unavailable',
        detail: `unexpected status ${String(reply.value.status)}`,
      });
    }
    const isUnconfirmed = isWrite && reply.error.mayHaveArrived;
    return Result.err({
      reason: isUnconfirmed ? 'unconfirmed' : 'unavailable',
      detail: `${reply.error.reason}: ${reply.error.detail}`,
    });
  }
}
