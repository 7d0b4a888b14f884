import { reserveMemory } from '@poppypond/backend';
import { delay, fault, formatOwner } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { BLOCK_TOKENS, splitAtBlocks, estimateTokens } from '@poppypond/hashing';
import { groupEngineCount, planGroup } from '@poppypond/policy';
import type { EngineState, GroupPart } from '@poppypond/policy';
import type { CompletionRun } from '../completions/completion-run.js';
import type { GatewayContext } from '../context.js';
import type { AvailableEngine } from '../engines/engine-directory.js';
import { RESERVATION_TTL_MS } from '../engines/reservation-manager.js';
import type { EngineReservation } from '../engines/reservation-manager.js';
import type { WatchedEngine } from '../engines/watched-engine.js';

const MEMORY_MARGIN = 0.02;
const REPLAN_PERIOD_MS = 50;
const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 640;
/** After this wait, this host places no other long request on engines that groups may use. */
const KEEP_FREE_AFTER_MS = 300;

interface ReservedPart extends EngineReservation {
  readonly engine: WatchedEngine;
  readonly text: string;
  readonly tokens: number;
}

type GroupRun = CompletionRun<GatewayContext>;
type PartsOutcome = 'finished' | 'again' | Fault;

/**
 * Engines that groups may use: the last ones in each pool's order, as the first ones serve short
 * requests.
 */
function eligibleEngines(run: GroupRun): readonly AvailableEngine[] {
  const { context, request } = run;
  return request.resolution.pools.flatMap(({ object: pool }) => {
    const available = context.engines.listAvailable([pool.name], request.body.model);
    const count = groupEngineCount(available.length, pool.spec.groupShare);
    return available.slice(available.length - count);
  });
}

/** Describes the needed and the free memory, for the fault and the decision record. */
function describeMemoryShortage({ request }: GroupRun, states: readonly EngineState[]): string {
  const needed = request.promptTokens + request.body.maxTokens;
  const free = states.map(
    ({ id, kvTokens, heldTokens }) => `${id} ${String(kvTokens - heldTokens)}`,
  );
  return `${String(needed)} tokens needed, free tokens on engines for groups: ${free.join(', ') || 'none'}`;
}

/** Waits until a plan fits the free memory. Returns undefined if the request is aborted first. */
async function waitForPlan(run: GroupRun): Promise<readonly GroupPart[] | undefined> {
  const { context, request } = run;
  const startedAtMs = context.clock.monotonicMs();
  while (!run.signal.aborted) {
    const engines = eligibleEngines(run);
    const states = engines.map(({ state }) => state);
    const { promptTokens, body } = request;
    const plan = planGroup(promptTokens, body.maxTokens, states, BLOCK_TOKENS, MEMORY_MARGIN);
    run.setWaitReason(plan ? '' : describeMemoryShortage(run, states));
    if (plan) return plan;
    if (context.clock.monotonicMs() - startedAtMs > KEEP_FREE_AFTER_MS) {
      context.dispatcher.keepFreeForGroup(new Set(states.map((state) => state.id)));
    }
    await delay(context.clock, REPLAN_PERIOD_MS);
  }
  return undefined;
}

/**
 * Splits the prompt into one text for each part of the plan, none larger than its reservation.
 * Returns an empty list if the last text does not fit.
 */
function splitPrompt(
  prompt: string,
  plan: readonly GroupPart[],
  maxTokens: number,
): readonly string[] {
  const texts: string[] = [];
  let remainingText = prompt;
  plan.forEach((part, index) => {
    const isLast = index === plan.length - 1;
    const tokens = isLast ? estimateTokens(remainingText) : part.tokens;
    const text = isLast ? remainingText : (splitAtBlocks(remainingText, tokens)[0] ?? '');
    texts.push(text);
    remainingText = remainingText.slice(text.length);
  });
  const last = plan.at(-1);
  const fits = last !== undefined && estimateTokens(texts.at(-1) ?? '') + maxTokens <= last.tokens;
  return fits ? texts : [];
}

/**
 * Reserves memory for all parts in order, or for none. Never waits for memory while it holds a
 * reservation, so that two groups cannot deadlock.
 */
async function tryReserveAll(
  run: GroupRun,
  plan: readonly GroupPart[],
): Promise<readonly ReservedPart[] | undefined> {
  const { context, request } = run;
  const texts = splitPrompt(request.body.prompt, plan, request.body.maxTokens);
  if (texts.length !== plan.length) return undefined;
  const reserved: ReservedPart[] = [];
  const attempt = run.nextAttemptNumber();
  for (const [index, part] of plan.entries()) {
    const engine = context.engines.find(part.engineId);
    const result = engine
      ? await reserveMemory(engine.url, {
          owner: formatOwner(context.owner),
          requestId: request.id,
          attempt,
          tokens: part.tokens,
          ttlMs: RESERVATION_TTL_MS,
          timeRemainingMs: Math.max(1, run.remainingMs),
        })
      : undefined;
    if (!engine || !result?.isOk || run.signal.aborted) {
      if (engine && result?.isOk) reserved.push(trackPart(run, engine, result.value, '', 0));
      await context.reservations.release(reserved);
      return undefined;
    }
    reserved.push(trackPart(run, engine, result.value, texts[index] ?? '', part.tokens));
  }
  return reserved;
}

function trackPart(
  run: GroupRun,
  engine: WatchedEngine,
  id: string,
  text: string,
  tokens: number,
): ReservedPart {
  const part = { engine, engineUrl: engine.url, id, text, tokens };
  run.context.reservations.track(part);
  return part;
}

/**
 * Prefills the parts one after another. Each engine imports the KV caches of the parts before its
 * own; the last one generates the output.
 */
async function runParts(run: GroupRun, parts: readonly ReservedPart[]): Promise<PartsOutcome> {
  const { context, request } = run;
  const imports: string[] = [];
  for (const [index, part] of parts.entries()) {
    const isLast = index === parts.length - 1;
    const now = context.clock.monotonicMs();
    const promptTokens = estimateTokens(part.text);
    const work = { prefillTokens: promptTokens, heldTokens: 0, priority: request.priority };
    const dispatch = part.engine.load.onDispatch(work, now);
    const attempt = context.runAttempt(
      {
        engineUrl: part.engineUrl,
        requestId: request.id,
        attempt: run.nextAttemptNumber(),
        owner: formatOwner(context.owner),
        dispatch,
        priority: request.priority,
        timeRemainingMs: run.remainingMs,
        resumeOffset: isLast ? run.nextToken : 0,
        maxTokens: request.body.maxTokens,
        body: JSON.stringify({ model: request.body.model, prompt: part.text }),
        mayWaitInEngine: true,
        reservationId: part.id,
        isPrefillOnly: !isLast,
        imports,
      },
      {
        onAccepted: () => {
          run.onEngineStarted();
        },
        onToken: (tokenIndex, text) => {
          run.onToken(tokenIndex, text);
        },
      },
      run.signal,
    );
    run.ends.begin();
    const end = await run.trackAttempt(attempt);
    part.engine.load.onEnd(dispatch);
    if (end.kind === 'refused' && end.backoffMs !== undefined) {
      part.engine.health.onBackoffRequested(end.backoffMs, context.clock.monotonicMs());
    }
    if (end.kind === 'cut') await run.ends.onResponseCut(part.engine.name, part.engineUrl);
    if (end.kind === 'time_limit') return fault('time_limit', '', { rule: request.rule });
    if (end.kind === 'cancelled') return fault('cancelled_running', '');
    if (end.kind !== 'done') {
      run.recordGroupPartFailure(part.engine.name, end);
      return context.retries.tryTake()
        ? 'again'
        : fault('incomplete', `${part.engine.name}: ${end.kind}`, { rule: request.rule });
    }
    imports.push(`${part.engineUrl}#${part.id}`);
  }
  run.ends.onServed();
  return 'finished';
}

function recordPlan(run: GroupRun, parts: readonly ReservedPart[], tries: number): void {
  run.recorder.record({
    kind: 'place',
    choice: parts.map((part) => part.engine.name).join('+'),
    state: {
      lane: 'group',
      promptTokens: run.request.promptTokens,
      parts: parts.length,
      tries,
      remainingMs: Math.round(run.remainingMs),
    },
  });
}

/**
 * Returns a fault for a prompt that would not fit even if all engines of its pools were empty and
 * available. Engines that are leaving or silent count: they are expected to return, and the prompt
 * may wait for them.
 */
function checkFits(run: GroupRun): Fault | undefined {
  const { context, request } = run;
  const engineMemory = request.resolution.pools.flatMap(({ object: pool }) => {
    const known = [...context.engines.reportedMemory(pool.name)].sort((a, b) => b - a);
    return known.slice(0, groupEngineCount(known.length, pool.spec.groupShare));
  });
  const most = engineMemory.reduce((sum, tokens) => sum + tokens * (1 - MEMORY_MARGIN), 0);
  if (request.promptTokens + request.body.maxTokens <= most) return undefined;
  const detail = `${String(engineMemory.length)} engines that groups may use hold at most ${most.toFixed(0)} tokens`;
  return fault('prompt_too_long', detail, { rule: request.rule, path: 'prompt' });
}

/** Plans and reserves until all parts are reserved, or returns undefined if aborted first. */
async function planAndReserve(run: GroupRun): Promise<readonly ReservedPart[] | undefined> {
  const { context } = run;
  run.setWaitReason('other groups on this host are reserving memory');
  const unlock = await context.groupReservationMutex.lock();
  try {
    let backoffMs = INITIAL_BACKOFF_MS;
    for (let tries = 1; !run.signal.aborted; tries += 1) {
      const plan = await waitForPlan(run);
      const parts = plan ? await tryReserveAll(run, plan) : undefined;
      if (parts) {
        recordPlan(run, parts, tries);
        return parts;
      }
      await delay(context.clock, backoffMs * context.random.next());
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return undefined;
  } finally {
    context.dispatcher.keepFreeForGroup(new Set());
    unlock();
  }
}

/** Runs a prompt that is larger than one engine's memory on several engines. */
export async function runGroup(run: GroupRun): Promise<'finished' | Fault> {
  const { context } = run;
  const tooLong = checkFits(run);
  if (tooLong) return tooLong;
  for (;;) {
    const held = run.ends.checkHold();
    if (held) return held;
    const parts = await planAndReserve(run);
    if (!parts) break;
    const end = await runParts(run, parts);
    await context.reservations.release(parts);
    context.dispatcher.processQueue();
    if (end !== 'again') return end;
  }
  return fault('wait_expired', 'not enough free memory on the engines', {
    rule: run.request.rule,
  });
}
