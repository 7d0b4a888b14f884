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
import type { PlaceRequest } from '../engines/dispatcher.js';
import { DecisionRecorder } from '../explain/decision-recorder.js';
import { HostQuarantine } from '../quarantine/host-quarantine.js';
import type { AdmittedRequest } from './completion-request.js';
import { CompletionRun } from './completion-run.js';
import type { RunContext } from './run-context.js';

const LIMIT_MS = 1000;
const TOKENS = 6;

/** What a fake engine does with one attempt. */
const behaviour = fc.record({
  placeAfterMs: fc.integer({ min: 0, max: 400 }),
  placeFault: fc.option(fc.constantFrom('queue_full' as const, 'displaced' as const), {
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
  beginsAfterMs: fc.integer({ min: 0, max: 300 }),
  saysAccepted: fc.boolean(),
  tokens: fc.integer({ min: 0, max: TOKENS }),
  tokenMs: fc.integer({ min: 0, max: 120 }),
});
type Behaviour = typeof behaviour extends fc.Arbitrary<infer Value> ? Value : never;

interface Recorded {
  texts: string[];
  ends: (Fault | 'ok')[];
  endedAtMs: number;
}

function resolution() {
  const parsed = parseObjects([{ kind: 'rule', name: 'r', spec: { traffic: [], pools: [] } }]);
  const [rule] = parsed.isOk ? parsed.value : [];
  if (!rule) throw new Error('no rule');
  const configuration = Configuration.empty.advance([{ id: 'rule/r', revision: 1, after: rule }]);
  const found = resolveTraffic(configuration, { labels: {}, promptTokens: 1 });
  if (!found) throw new Error('not resolved');
  return found;
}

function request(nowMs: number): AdmittedRequest {
  return {
    id: 'h.1.000000000000',
    style: 'text',
    caller: { workspace: 'w', user: 'u', labels: {} },
    headers: { timeLimitMs: undefined, idempotencyKey: undefined, labels: {}, resume: undefined },
    bytes: Buffer.from(''),
    body: { model: 'm', maxTokens: TOKENS, isStream: true, prompt: '', estimatedTokens: 10 },
    arrivedAtMs: nowMs,
    resolution: resolution(),
    rule: 'r@1',
    className: 'none',
    pools: [],
    priority: 5,
    promptTokens: 10,
    lane: 'short',
    prefix: [],
    deadlineMs: nowMs + LIMIT_MS,
    budgets: [],
    needsGroup: false,
  };
}

/** Runs one request against engines that behave as given; says what ran and what was told. */
async function play(behaviours: readonly Behaviour[], goneAfterMs: number | undefined) {
  const clock = new ManualClock();
  const wait = (ms: number) => new Promise<void>((resolve) => clock.after(ms, resolve));
  const truth = { ran: false };
  let next = 0;
  const current = () => behaviours[Math.min(next, behaviours.length - 1)] ?? behaviours[0];
  const answer: Recorded = { texts: [], ends: [], endedAtMs: 0 };
  const end = (how: Fault | 'ok') => {
    answer.ends.push(how);
    answer.endedAtMs = clock.monotonicMs();
  };
  const runAttempt = async (
    call: AttemptCall,
    signal: AbortSignal,
    onToken: (index: number, text: string) => void,
    onAccepted: () => void,
  ): Promise<AttemptEnd> => {
    const engine = current();
    next += 1;
    if (!engine) return { kind: 'not_sent', detail: '' };
    const aborted = new Promise<AttemptEnd>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve({ kind: 'cancelled' });
      });
    });
    const work = async (): Promise<AttemptEnd> => {
      if (engine.kind === 'not_sent') return { kind: 'not_sent', detail: '' };
      await wait(engine.beginsAfterMs);
      if (engine.kind === 'refused' || engine.kind === 'no_memory')
        return { kind: 'refused', reason: engine.kind };
      truth.ran = true;
      if (engine.kind === 'silent') return new Promise<AttemptEnd>(() => undefined);
      if (engine.saysAccepted) onAccepted();
      const until =
        engine.kind === 'cut' ? Math.min(TOKENS, call.resumeOffset + engine.tokens) : TOKENS;
      for (let index = call.resumeOffset; index < until; index += 1) {
        await wait(engine.tokenMs);
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
      place: async ({ signal, maxWaitMs }: PlaceRequest) => {
        const engine = current();
        const waitMs = Math.min(maxWaitMs, engine?.placeAfterMs ?? 0);
        await wait(waitMs);
        if (signal.aborted) return Result.err(fault('cancelled_waiting', ''));
        if (waitMs === maxWaitMs) return Result.err(fault('wait_expired', ''));
        if (engine?.placeFault) return Result.err(fault(engine.placeFault, ''));
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
  const asked = request(clock.monotonicMs());
  const recorder = new DecisionRecorder(decisions, clock, asked.id, 1, {});
  const run = new CompletionRun(
    context,
    asked,
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
  if (goneAfterMs !== undefined) {
    clock.after(goneAfterMs, () => {
      run.onCallerGone();
    });
  }
  await clock.advance(LIMIT_MS * 3);
  await flushPromises();
  const isOver = await Promise.race([running.then(() => true), flushPromises().then(() => false)]);
  return { answer, truth, isOver, deadlineMs: asked.deadlineMs };
}

describe('CompletionRun', () => {
  it('ends once and in time, with the whole answer or a truthful word, whatever engines do', async () => {
    const gone = fc.option(fc.integer({ min: 0, max: LIMIT_MS }), { freq: 4, nil: undefined });
    await fc.assert(
      fc.asyncProperty(
        fc.array(behaviour, { minLength: 1, maxLength: 5 }),
        gone,
        async (engines, goneAfterMs) => {
          const { answer, truth, isOver, deadlineMs } = await play(engines, goneAfterMs);
          expect(isOver).toBe(true);
          expect(answer.ends).toHaveLength(1);
          expect(answer.endedAtMs).toBeLessThanOrEqual(deadlineMs);
          const whole = Array.from({ length: TOKENS }, (_, index) => `t${String(index)} `);
          expect(answer.texts).toEqual(whole.slice(0, answer.texts.length));
          const [told] = answer.ends;
          if (told === 'ok') expect(answer.texts).toEqual(whole);
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
