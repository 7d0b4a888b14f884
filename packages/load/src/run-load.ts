import { callStream } from './stream-client.js';
import type { StreamOutcome } from './stream-client.js';
import { SAMPLE_MODEL, sampleKey } from './sample-objects.js';
import { makeArrivalPrompt } from './workload.js';
import type { Arrival } from './workload.js';

/** Result of one request. */
export interface LoadSample {
  readonly index: number;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly workspace: string;
  readonly code: StreamOutcome['code'];
  readonly requestId: string;
  /** From the scheduled arrival, not the actual send, to avoid coordinated omission. */
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly tokens: number;
  readonly retryAfterMs: number | undefined;
}

/** Gateways that a workload is sent to, with its seed and time limit. */
export interface LoadTarget {
  readonly urls: readonly string[];
  readonly seed: number;
  readonly timeLimitMs: number;
}

async function send(
  arrival: Arrival,
  target: LoadTarget,
  startedAtMs: number,
): Promise<LoadSample> {
  const { index, atMs, promptTokens, workspace } = arrival;
  const outcome = await callStream(
    {
      url: target.urls[index % target.urls.length] ?? '',
      key: sampleKey(workspace),
      model: SAMPLE_MODEL,
      prompt: makeArrivalPrompt(arrival, target.seed),
      maxTokens: arrival.maxTokens,
      timeLimitMs: target.timeLimitMs,
    },
    startedAtMs + atMs,
  );
  const { code, requestId, firstTokenMs, totalMs, tokens, retryAfterMs } = outcome;
  const result = { code, requestId, firstTokenMs, totalMs, tokens, retryAfterMs };
  return { index, atMs, promptTokens, workspace, ...result };
}

/** Sends each request at its arrival time, independent of the others, and waits for all results. */
export function runLoad(
  arrivals: readonly Arrival[],
  target: LoadTarget,
): Promise<readonly LoadSample[]> {
  const startedAtMs = performance.now();
  const running = arrivals.map(
    (arrival) =>
      new Promise<LoadSample>((resolve) => {
        setTimeout(() => {
          void send(arrival, target, startedAtMs).then(resolve);
        }, arrival.atMs);
      }),
  );
  return Promise.all(running);
}
