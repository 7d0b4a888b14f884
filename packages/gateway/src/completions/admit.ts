import { fault } from '@poppypond/core';
import type { Fault, Labels } from '@poppypond/core';
import { hashBlocks, formatChainHash } from '@poppypond/hashing';
import { resolveTraffic } from '@poppypond/objects';
import type { Configuration, Resolution } from '@poppypond/objects';
import { checkAdmission, prefillTokensAtOrAbove } from '@poppypond/policy';
import type { AppliedBudget } from '@poppypond/policy';
import { Result } from 'true-myth';
import type { GatewayContext } from '../context.js';
import type { AdmittedRequest, CompletionRequest } from './completion-request.js';

/** Leading blocks of a prompt that are compared with the prefix caches; bounds the hashing. */
const MAX_PREFIX_BLOCKS = 48;
const DEFAULT_PRIORITY = 5;
const DEFAULT_TIME_LIMIT_MS = 60_000;
const NO_CLASS = 'none';

/** Labels that rule selectors match. Labels from headers never override those of the key. */
export function trafficLabels(request: CompletionRequest): Labels {
  return {
    ...request.headers.labels,
    ...request.caller.labels,
    model: request.body.model,
    path: request.style,
  };
}

function checkRule(resolution: Resolution, request: CompletionRequest, tokens: number) {
  const { spec, name } = resolution.rule.object;
  const rule = `${name}@${String(resolution.rule.revision)}`;
  if (spec.action === 'refuse') return fault('refused_by_rule', '', { rule });
  if (spec.maxPromptTokens !== undefined && tokens > spec.maxPromptTokens) {
    const detail = `${String(tokens)} tokens, at most ${String(spec.maxPromptTokens)}`;
    return fault('prompt_too_long', detail, { rule, path: 'prompt' });
  }
  if (spec.maxOutputTokens !== undefined && request.body.maxTokens > spec.maxOutputTokens) {
    const detail = `at most ${String(spec.maxOutputTokens)} under this rule`;
    return fault('bad_field', detail, { rule, path: 'max_tokens' });
  }
  if (resolution.pools.length === 0) return fault('no_rule', 'the rule selects no pool', { rule });
  return undefined;
}

/** Budgets that a request is charged to: those of its user, its workspace and its pools. */
function applicableBudgets(
  configuration: Configuration,
  caller: CompletionRequest['caller'],
  pools: Resolution['pools'],
): readonly AppliedBudget[] {
  const budgets: AppliedBudget[] = [];
  const workspace = configuration.get('workspace', caller.workspace)?.object.spec;
  if (workspace?.userBudget) {
    budgets.push({ id: `user/${caller.workspace}/${caller.user}`, budget: workspace.userBudget });
  }
  if (workspace?.budget) {
    budgets.push({ id: `workspace/${caller.workspace}`, budget: workspace.budget });
  }
  for (const { object: pool } of pools) {
    if (pool.spec.budget) budgets.push({ id: `pool/${pool.name}`, budget: pool.spec.budget });
  }
  return budgets;
}

/**
 * Resolves everything about a request that does not depend on the engine it is placed on: rule,
 * class, pools, priority, lane, deadline and budgets.
 */
export function resolveRequest(
  context: GatewayContext,
  request: CompletionRequest,
): Result<AdmittedRequest, Fault> {
  const configuration = context.configuration.current;
  const { body, headers } = request;
  const { model } = body;
  if (!configuration.get('model', model)) return Result.err(fault('unknown_model', model));
  const labels = trafficLabels(request);
  const resolution = resolveTraffic(configuration, { labels, promptTokens: body.estimatedTokens });
  if (!resolution) return Result.err(fault('no_rule', ''));
  const requestClass = resolution.requestClass?.object;
  const className = requestClass?.name ?? NO_CLASS;
  const promptTokens = context.correction.correct(className, body.estimatedTokens);
  const ruleFault = checkRule(resolution, request, promptTokens);
  if (ruleFault) return Result.err(ruleFault);
  const pools = resolution.pools.map((pool) => pool.object.name);
  const prefix = hashBlocks(body.prompt, MAX_PREFIX_BLOCKS).map(formatChainHash);
  const available = context.engines.listAvailable(pools, model);
  const cachedTokens = available.map(({ engine }) => context.cachedTokens(engine.name, prefix));
  const workTokens = promptTokens - Math.max(0, ...cachedTokens);
  context.lanes.observe(workTokens);
  const neededTokens = promptTokens + body.maxTokens;
  const maxKvTokens = Math.max(0, ...available.map(({ state }) => state.kvTokens));
  const { rule } = resolution;
  const timeLimitMs =
    headers.timeLimitMs ?? requestClass?.spec.timeLimitMs ?? DEFAULT_TIME_LIMIT_MS;
  const priority = rule.object.spec.priority ?? requestClass?.spec.priority ?? DEFAULT_PRIORITY;
  return Result.ok({
    ...request,
    resolution,
    rule: `${rule.object.name}@${String(rule.revision)}`,
    className,
    pools,
    priority: context.settings.usePriority ? priority : DEFAULT_PRIORITY,
    promptTokens,
    lane: context.lanes.laneOf(workTokens),
    prefix,
    deadlineMs: request.arrivedAtMs + timeLimitMs,
    budgets: applicableBudgets(configuration, request.caller, resolution.pools),
    needsGroup: maxKvTokens > 0 && neededTokens > maxKvTokens * (1 - GROUP_MARGIN),
  });
}

/** Fraction of an engine's memory that a single request cannot use. */
const GROUP_MARGIN = 0.05;

/**
 * Returns a fault if the request is not expected to finish before its deadline under the present
 * load. Only requests placed by predicted start are checked.
 */
export function checkCanFinish(
  context: GatewayContext,
  request: AdmittedRequest,
): Fault | undefined {
  const { settings } = context;
  if (settings.placement !== 'predicted-start') return undefined;
  const now = context.clock.monotonicMs();
  const available = context.engines.listAvailable(request.pools, request.body.model);
  if (available.length === 0) return undefined;
  const states = available.map(({ state }) => state);
  const tokensPerMs = states.reduce((sum, state) => sum + state.prefillTokensPerMs, 0);
  const workAheadMs = states.map(
    (state) => prefillTokensAtOrAbove(state, request.priority) / state.prefillTokensPerMs,
  );
  const queuedTokens = context.dispatcher.queuedTokensAhead({
    job: { ...request, outputTokens: 0, zone: '', cachedTokens: () => 0 },
    pools: request.pools,
    model: request.body.model,
  });
  return checkAdmission({
    timeRemainingMs: request.deadlineMs - now,
    promptTokens: request.promptTokens,
    outputTokens: request.body.maxTokens - (request.headers.resume?.offset ?? 0),
    queuedTokens,
    minWorkAheadMs: Math.min(...workAheadMs),
    laneTokensPerMs: tokensPerMs / context.hostCount(),
    engineTokensPerMs: tokensPerMs / states.length,
    stepMs: settings.decodeStepMs,
  });
}
