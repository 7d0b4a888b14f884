import { callStream, expectedAnswer, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import type { CompletionCall } from '../history.js';
import type { ScenarioRandom } from '../random.js';

/** Parameters of one completion call. */
export interface CompletionCallOptions {
  readonly gateway: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly limitMs: number;
  /** The caller closes the connection after this time. */
  readonly cancelAfterMs?: number;
}

let callCount = 0;

/** Share of calls with a time limit that is hard to meet. */
const TIGHT_LIMIT_SHARE = 0.3;

const ANSWER_GRACE_MS = 20_000;

/** Makes one completion call and records it. */
export async function ask(
  options: CompletionCallOptions,
  random: ScenarioRandom,
): Promise<CompletionCall> {
  callCount += 1;
  const promptStart = `question ${String(callCount)} ${String(random.next())} `;
  const prompt = makePrompt(promptStart, options.promptTokens);
  const abort = new AbortController();
  const closeAfterMs = options.cancelAfterMs ?? options.limitMs + ANSWER_GRACE_MS;
  const timer = setTimeout(() => {
    abort.abort();
  }, closeAfterMs);
  const startedAtMs = performance.now();
  const outcome = await callStream({
    url: options.gateway,
    key: sampleKey('members'),
    model: SAMPLE_MODEL,
    prompt,
    maxTokens: options.maxTokens,
    timeLimitMs: options.limitMs,
    signal: abort.signal,
  });
  clearTimeout(timer);
  return {
    gateway: options.gateway,
    startedAtMs,
    endedAtMs: performance.now(),
    limitMs: options.limitMs,
    requestId: outcome.requestId,
    code: outcome.code,
    text: outcome.text,
    expected: expectedAnswer(prompt, options.maxTokens),
    offset: 0,
    isCancelled: abort.signal.aborted && options.cancelAfterMs !== undefined,
  };
}

/**
 * Returns a call of random size. On average one in `groupEvery` has a prompt that needs a group of
 * engines, and one in `longEvery` of the others a long prompt.
 */
export function makeRandomCall(
  gateways: readonly string[],
  random: ScenarioRandom,
  sizes: { readonly longEvery: number; readonly groupEvery: number },
): CompletionCallOptions {
  const isGroup = random.chance(1 / sizes.groupEvery);
  const isLong = random.chance(1 / sizes.longEvery);
  const promptTokens = isGroup
    ? random.between(45_000, 90_000)
    : isLong
      ? random.between(8000, 36_000)
      : random.between(100, 3000);
  return {
    gateway: random.pick(gateways),
    promptTokens,
    maxTokens: random.between(4, 48),
    limitMs: random.chance(TIGHT_LIMIT_SHARE) ? random.between(15, 200) : random.between(400, 3000),
  };
}

/** Waits in real time. Used only to spread calls, faults and polls over a run. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
