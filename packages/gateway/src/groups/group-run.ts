import { reserveMemory } from '@poppypond/backend';
import { delay, fault, formatOwner } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { BLOCK_TOKENS, splitAtBlocks, estimateTokens } from '@poppypond/hashing';
import { groupEngineCount, planGroup } from '@poppypond/policy';
import type { EngineState, GroupPart } from '@poppypond/policy';
import type { CompletionRun } from '../completions/completion-run.js';
import type { GatewayContext } from '../context.js';
import type { OpenEngine } from '../engines/engine-directory.js';
import { RESERVATION_TTL_MS } from '../engines/reservation-keeper.js';
import type { KeptReservation } from '../engines/reservation-keeper.js';
import type { WatchedEngine } from '../engines/watched-engine.js';

const MEMORY_MARGIN = 0.02;
const REPLAN_MS = 50;
const FIRST_BACK_OFF_MS = 20;
const LONGEST_BACK_OFF_MS = 640;
/** After this wait, this host gives no other long work to the engines that groups may use. */
const KEEP_FREE_AFTER_MS = 300;

interface ReservedPart extends KeptReservation {
  readonly engine: WatchedEngine;
  readonly text: string;
  readonly tokens: number;
}

type GroupRun = CompletionRun<GatewayContext>;
type PartsEnd = 'finished' | 'again' | Fault;

/** Engines that groups may use: the end of each pool's order, away from the short lane. */
function groupEngines(run: GroupRun): readonly OpenEngine[] {
  const { context, request } = run;
  return request.resolution.pools.flatMap(({ object: pool }) => {
    const open = context.engines.open([pool.name], request.body.model);
    const count = groupEngineCount(open.length, pool.spec.groupShare);
    return open.slice(open.length - count);
  });
}

/** Says for the explanation which memory was there and which was needed. */
function describeLack({ request }: GroupRun, states: readonly EngineState[]): string {
  const needed = request.promptTokens + request.body.maxTokens;
  const free = states.map(
    ({ id, kvTokens, heldTokens }) => `${id} ${String(kvTokens - heldTokens)}`,
  );
  return `${String(needed)} tokens needed, free on engines for groups: ${free.join(', ') || 'none'}`;
}

/** Waits until a plan fits the free memory; undefined when the time is up. */
async function waitForPlan(run: GroupRun): Promise<readonly GroupPart[] | undefined> {
  const { context, request } = run;
  const since = context.clock.monotonicMs();
  while (!run.signal.aborted) {
    const engines = groupEngines(run);
    const states = engines.map(({ state }) => state);
    const { promptTokens, body } = request;
    const plan = planGroup(promptTokens, body.maxTokens, states, BLOCK_TOKENS, MEMORY_MARGIN);
    run.setAwaited(plan ? '' : describeLack(run, states));
    if (plan) return plan;
    if (context.clock.monotonicMs() - since > KEEP_FREE_AFTER_MS) {
      context.dispatcher.keepFor(new Set(states.map((state) => state.id)));
    }
    await delay(context.clock, REPLAN_MS);
  }
  return undefined;
}

/** The prompt's text for each part; a part never exceeds what is reserved for it. */
function cutTexts(
  prompt: string,
  plan: readonly GroupPart[],
  maxTokens: number,
): readonly string[] {
  const texts: string[] = [];
  let rest = prompt;
  plan.forEach((part, index) => {
    const isLast = index === plan.length - 1;
    const tokens = isLast ? estimateTokens(rest) : part.tokens;
    const text = isLast ? rest : (splitAtBlocks(rest, tokens)[0] ?? '');
    texts.push(text);
    rest = rest.slice(text.length);
  });
  const last = plan.at(-1);
  const isFitting =
    last !== undefined && estimateTokens(texts.at(-1) ?? '') + maxTokens <= last.tokens;
  return isFitting ? texts : [];
}

/** Reserves every part in order, or none. Never waits while it holds one, so no two deadlock. */
async function reserveAll(
  run: GroupRun,
  plan: readonly GroupPart[],
): Promise<readonly ReservedPart[] | undefined> {
  const { context, request } = run;
  const texts = cutTexts(request.body.prompt, plan, request.body.maxTokens);
  if (texts.length !== plan.length) return undefined;
  const reserved: ReservedPart[] = [];
  const attempt = run.nextAttempt();
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
      if (engine && result?.isOk) reserved.push(keepPart(run, engine, result.value, '', 0));
      await context.reservations.release(reserved);
      return undefined;
    }
    reserved.push(keepPart(run, engine, result.value, texts[index] ?? '', part.tokens));
  }
  return reserved;
}

function keepPart(
  run: GroupRun,
  engine: WatchedEngine,
  id: string,
  text: string,
  tokens: number,
): ReservedPart {
  const part = { engine, engineUrl: engine.url, id, text, tokens };
  run.context.reservations.keep(part);
  return part;
}

/** Prefills the parts one after another; the last imports the others and generates. */
async function runParts(run: GroupRun, parts: readonly ReservedPart[]): Promise<PartsEnd> {
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
        attempt: run.nextAttempt(),
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
          run.onStartedOnEngine();
        },
        onToken: (tokenIndex, text) => {
          run.onToken(tokenIndex, text);
        },
      },
      run.signal,
    );
    run.ends.begin();
    const end = await run.watchAttempt(attempt);
    part.engine.load.onEnd(dispatch);
    if (end.kind === 'refused' && end.backoffMs !== undefined) {
      part.engine.health.onBackoffRequested(end.backoffMs, context.clock.monotonicMs());
    }
    if (end.kind === 'cut') await run.ends.onCut(part.engine.name, part.engineUrl);
    if (end.kind === 'time_limit') return fault('time_limit', '', { rule: request.rule });
    if (end.kind === 'cancelled') return fault('cancelled_running', '');
    if (end.kind !== 'done') {
      run.recordGroupFailure(part.engine.name, end);
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
 * A prompt that would not fit even if the pools' engines were empty and all took work is refused
 * at once. Engines that are leaving or silent count: they are expected back, so it may wait.
 */
function checkFits(run: GroupRun): Fault | undefined {
  const { context, request } = run;
  const memories = request.resolution.pools.flatMap(({ object: pool }) => {
    const known = [...context.engines.knownMemory(pool.name)].sort((a, b) => b - a);
    return known.slice(0, groupEngineCount(known.length, pool.spec.groupShare));
  });
  const most = memories.reduce((sum, tokens) => sum + tokens * (1 - MEMORY_MARGIN), 0);
  if (request.promptTokens + request.body.maxTokens <= most) return undefined;
  const detail = `${String(memories.length)} engines that groups may use hold ${most.toFixed(0)}`;
  return fault('prompt_too_long', detail, { rule: request.rule, path: 'prompt' });
}

/** Plans and reserves until it succeeds; undefined when the time is up. */
async function assemble(run: GroupRun): Promise<readonly ReservedPart[] | undefined> {
  const { context } = run;
  run.setAwaited('its turn to reserve memory');
  const endTurn = await context.groupTurns.take();
  try {
    let backOffMs = FIRST_BACK_OFF_MS;
    for (let tries = 1; !run.signal.aborted; tries += 1) {
      const plan = await waitForPlan(run);
      const parts = plan ? await reserveAll(run, plan) : undefined;
      if (parts) {
        recordPlan(run, parts, tries);
        return parts;
      }
      await delay(context.clock, backOffMs * context.random.next());
      backOffMs = Math.min(LONGEST_BACK_OFF_MS, backOffMs * 2);
    }
    return undefined;
  } finally {
    context.dispatcher.keepFor(new Set());
    endTurn();
  }
}

/** Runs a prompt that is larger than one engine's memory on several engines. */
export async function runGroup(run: GroupRun): Promise<'finished' | Fault> {
  const { context } = run;
  const tooLong = checkFits(run);
  if (tooLong) return tooLong;
  for (;;) {
    const held = run.ends.heldBecause();
    if (held) return held;
    const parts = await assemble(run);
    if (!parts) break;
    const end = await runParts(run, parts);
    await context.reservations.release(parts);
    context.dispatcher.pump();
    if (end !== 'again') return end;
  }
  return fault('wait_expired', 'not enough memory was free on the engines', {
    rule: run.request.rule,
  });
}
