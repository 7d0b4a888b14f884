import type { AttemptCall, AttemptEnd } from '@poppypond/backend';
import { fault, outcomeOf } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { FakeObjectStore, flushPromises, ManualClock } from '@poppypond/mocks';
import { Configuration, parseObjects, resolveTraffic } from '@poppypond/objects';
import { EngineLoad, RetryBudget, ServerHealth, TokenCorrection } from '@poppypond/policy';
import { DecisionLog } from '@poppypond/state';
import { silentLog, silentMetrics } from '@poppypond/telemetry';
import fc from 'fast-check';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import type { PlacementRequest } from '../engines/dispatcher.js';
import { DecisionRecorder } from '../explain/decision-recorder.js';
import { HostQuarantine } from '../quarantine/host-quarantine.js';
import type { AdmittedRequest } from './completion-request.js';
import { CompletionRun } from './completion-run.js';
import type { RunContext } from './run-context.js';

const TIME_LIMIT_MS = 1000;
const OUTPUT_TOKENS = 6;

/** How one attempt is placed, and how the simulated engine handles it. */
const engineBehaviour = fc.record({
  placementDelayMs: fc.integer({ min: 0, max: 400 }),
  placementFault: fc.option(fc.constantFrom('queue_full' as const, 'displaced' as const), {
    freq: 8,
    nil: undefined,
  }),
  kind: fc.constantFrom(
    'done',
    'done',
    'cut',
    'refused',
    'no_memory',
    'not_sent',
    'silent',
    'stale',
  ),
  startDelayMs: fc.integer({ min: 0, max: 300 }),
  sendsAccepted: fc.boolean(),
  tokens: fc.integer({ min: 0, max: OUTPUT_TOKENS }),
  tokenDelayMs: fc.integer({ min: 0, max: 120 }),
});
type EngineBehaviour = typeof engineBehaviour extends fc.Arbitrary<infer Value> ? Value : never;

interface RecordedResponse {
  texts: string[];
  ends: (Fault | 'ok')[];
  endedAtMs: number;
}

function buildResolution() {
  const parsed = parseObjects([{ kind: 'rule', name: 'r', spec: { traffic: [], pools: [] } }]);
  const [rule] = parsed.isOk ? parsed.value : [];
  if (!rule) throw new Error('the sample rule does not parse');
  const configuration = Configuration.empty.advance([{ id: 'rule/r', revision: 1, after: rule }]);
  const found = resolveTraffic(configuration, { labels: {}, promptTokens: 1 });
  if (!found) throw new Error('the sample rule does not match');
  return found;
}

function request(nowMs: number): AdmittedRequest {
  return {
    id: 'h.1.000000000000',
    style: 'text',
    caller: { workspace: 'w', user: 'u', labels: {} },
    headers: { timeLimitMs: undefined, idempotencyKey: undefined, labels: {}, resume: undefined },
    bytes: Buffer.from(''),
    body: { model: 'm', maxTokens: OUTPUT_TOKENS, isStream: true, prompt: '', estimatedTokens: 10 },
    arrivedAtMs: nowMs,
    resolution: buildResolution(),
    rule: 'r@1',
    className: 'none',
    pools: [],
    priority: 5,
    promptTokens: 10,
    lane: 'short',
    prefix: [],
    deadlineMs: nowMs + TIME_LIMIT_MS,
    budgets: [],
    needsGroup: false,
  };
}

/**
 * Runs one request on simulated engines. Returns the response, whether any engine ran the request
 * and whether the run has ended.
 */
async function runScenario(
  behaviours: readonly EngineBehaviour[],
  disconnectAfterMs: number | undefined,
) {
  const clock = new ManualClock();
  const wait = (ms: number) => new Promise<void>((resolve) => clock.after(ms, resolve));
  const truth = { ran: false };
  let startedAttempts = 0;
  const currentBehaviour = () =>
    behaviours[Math.min(startedAttempts, behaviours.length - 1)] ?? behaviours[0];
  const answer: RecordedResponse = { texts: [], ends: [], endedAtMs: 0 };
  const end = (outcome: Fault | 'ok') => {
    answer.ends.push(outcome);
    answer.endedAtMs = clock.monotonicMs();
  };
  const runAttempt = async (
    call: AttemptCall,
    signal: AbortSignal,
    onToken: (index: number, text: string) => void,
    onAccepted: () => void,
  ): Promise<AttemptEnd> => {
    const engine = currentBehaviour();
    startedAttempts += 1;
    if (!engine) return { kind: 'not_sent', detail: '' };
    const aborted = new Promise<AttemptEnd>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve({ kind: 'cancelled' });
      });
    });
    const work = async (): Promise<AttemptEnd> => {
      if (engine.kind === 'not_sent') return { kind: 'not_sent', detail: '' };
      await wait(engine.startDelayMs);
      if (engine.kind === 'refused' || engine.kind === 'no_memory')
        return { kind: 'refused', reason: engine.kind };
      truth.ran = true;
      if (engine.kind === 'silent') return new Promise<AttemptEnd>(() => undefined);
      if (engine.sendsAccepted) onAccepted();
      const endIndex =
        engine.kind === 'cut'
          ? Math.min(OUTPUT_TOKENS, call.resumeOffset + engine.tokens)
          : OUTPUT_TOKENS;
      for (let index = call.resumeOffset; index < endIndex; index += 1) {
        await wait(engine.tokenDelayMs);
        onToken(index, `t${String(index)} `);
        if (engine.kind === 'stale') onToken(Math.max(0, index - 1), 'stale ');
      }
      return engine.kind === 'cut'
        ? { kind: 'cut', detail: '' }
        : { kind: 'done', promptTokens: 10 };
    };
    return Promise.race([work(), aborted]);
  };
  const context: RunContext = {
    clock,
    log: silentLog,
    metrics: silentMetrics,
    owner: { host: 'h', incarnation: 'i' },
    zone: 'a',
    usesLateBinding: true,
    dispatcher: {
      place: async ({ signal, maxWaitMs }: PlacementRequest) => {
        const engine = currentBehaviour();
        const waitMs = Math.min(maxWaitMs, engine?.placementDelayMs ?? 0);
        await wait(waitMs);
        if (signal.aborted) return Result.err(fault('cancelled_waiting', ''));
        if (waitMs === maxWaitMs) return Result.err(fault('wait_expired', ''));
        if (engine?.placementFault) return Result.err(fault(engine.placementFault, ''));
        return Result.ok({
          engine: {
            name: 'e',
            url: 'http://127.0.0.1:1',
            load: new EngineLoad('e', 'a', 1),
            health: new ServerHealth(),
          },
          dispatch: 1,
          predictedStartMs: 0,
          cachedTokens: 0,
          waitedMs: 0,
          passedOver: [],
        });
      },
    },
    lanes: { cutOffText: 'none' },
    retries: new RetryBudget(0.1, 3),
    quarantine: new HostQuarantine({
      clock,
      log: silentLog,
      metrics: silentMetrics,
      host: 'h',
      ask: () => Promise.resolve('listening'),
    }),
    correction: new TokenCorrection(),
    runAttempt: (call, listener, signal) =>
      runAttempt(
        call,
        signal,
        (index, text) => {
          listener.onToken(index, text);
        },
        () => listener.onAccepted?.({ reservation: 'kv', cachedTokens: 0, promptTokens: 10 }),
      ),
    weightOf: () => 1,
    cachedTokens: () => 0,
    settle: () => undefined,
  };
  const decisions = new DecisionLog('h', new FakeObjectStore(), clock, 100);
  const admitted = request(clock.monotonicMs());
  const recorder = new DecisionRecorder(decisions, clock, admitted.id, 1, {});
  const run = new CompletionRun(
    context,
    admitted,
    {
      token: (_index, text) => answer.texts.push(text),
      finish: () => {
        end('ok');
      },
      fail: end,
    },
    recorder,
  );
  const running = run.run({ budgets: [], units: 0 });
  if (disconnectAfterMs !== undefined) {
    clock.after(disconnectAfterMs, () => {
      run.onCallerDisconnected();
    });
  }
  await clock.advance(TIME_LIMIT_MS * 3);
  await flushPromises();
  const hasEnded = await Promise.race([
    running.then(() => true),
    flushPromises().then(() => false),
  ]);
  return { answer, truth, hasEnded, deadlineMs: admitted.deadlineMs };
}

describe('CompletionRun', () => {
  it('ends once within the time limit with the complete response or a fault with the true outcome', async () => {
    const gone = fc.option(fc.integer({ min: 0, max: TIME_LIMIT_MS }), { freq: 4, nil: undefined });
    await fc.assert(
      fc.asyncProperty(
        fc.array(engineBehaviour, { minLength: 1, maxLength: 5 }),
        gone,
        async (engines, disconnectAfterMs) => {
          const { answer, truth, hasEnded, deadlineMs } = await runScenario(
            engines,
            disconnectAfterMs,
          );
          expect(hasEnded).toBe(true);
          expect(answer.ends).toHaveLength(1);
          expect(answer.endedAtMs).toBeLessThanOrEqual(deadlineMs);
          const complete = Array.from(
            { length: OUTPUT_TOKENS },
            (_, index) => `t${String(index)} `,
          );
          expect(answer.texts).toEqual(complete.slice(0, answer.texts.length));
          const [told] = answer.ends;
          if (told === 'ok') expect(answer.texts).toEqual(complete);
          else if (told && outcomeOf(told.code) === 'not_run') {
            expect(truth.ran).toBe(false);
            expect(answer.texts).toEqual([]);
          }
        },
      ),
      { seed: 51, numRuns: 3000 },
    );
  });
});
