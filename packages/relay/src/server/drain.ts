import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import type { ForwardingListener } from '../connections/forwarding-listener.js';
import type { PlannedStop } from '../request/planned-stop.js';
import type { RequestHandler } from '../request/request-handler.js';
import type { CallerListener } from './caller-listener.js';

/** Dependencies of `drain`. */
export interface DrainParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly stop: PlannedStop;
  readonly callerListener: CallerListener;
  readonly serving: RequestHandler;
  /** Its connections end with the requests of other hosts. */
  readonly forwardingListener: ForwardingListener;
}

/**
 * After SIGTERM the load balancer polls readiness twice, one second apart, before it stops sending
 * requests.
 */
const BALANCER_DRAIN_MS: Milliseconds = 2500;
/** Part of the grace period that is kept for an orderly shutdown. */
const STOP_MARGIN_MS: Milliseconds = 600;
/** Part of the margin in which the last responses are written. */
const LAST_RESPONSES_MS: Milliseconds = 300;
/** Interval between checks for open requests. */
const POLL_PERIOD_MS: Milliseconds = 50;

/**
 * Serves what still arrives, finishes the accepted requests, and ends those that are not finished
 * shortly before `graceMs` have passed.
 */
export async function drain(parts: DrainParts, graceMs: Milliseconds): Promise<void> {
  const { clock, log, stop, callerListener, serving, forwardingListener } = parts;
  const startedAtMs = clock.monotonicMs();
  const newConnectionsUntilMs = startedAtMs + BALANCER_DRAIN_MS;
  const endsAtMs = startedAtMs + graceMs - STOP_MARGIN_MS;
  const openCount = () => callerListener.unfinishedCount + forwardingListener.openCount;
  const waitUntilIdle = async (untilMs: Milliseconds) => {
    while (openCount() > 0 && clock.monotonicMs() < untilMs) {
      callerListener.closeIdle();
      await delay(clock, POLL_PERIOD_MS);
    }
  };
  stop.begin({ newConnectionsUntilMs, endsAtMs });
  log.warn('stopping', { open: openCount(), within_ms: Math.round(endsAtMs - startedAtMs) });
  await delay(clock, BALANCER_DRAIN_MS);
  callerListener.close();
  await waitUntilIdle(endsAtMs);
  const unfinished = openCount();
  serving.endAll();
  await waitUntilIdle(clock.monotonicMs() + LAST_RESPONSES_MS);
  const afterMs = Math.round(clock.monotonicMs() - startedAtMs);
  log.warn('stopped', { unfinished, open: openCount(), after_ms: afterMs });
}
