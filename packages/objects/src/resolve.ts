import type { Labels } from '@poppypond/core';
import type { Configuration, Versioned } from './configuration.js';
import { matchesSelector } from './selector.js';

/** What decides which class, rule and pools a request gets. */
export interface Traffic {
  /** The caller's labels, the workspace's labels, and `workspace`, `user`, `model`, `service`. */
  readonly labels: Labels;
  readonly promptTokens: number;
}

/** The class, rule and pools of a request. */
export interface Resolution {
  readonly requestClass: Versioned<'request-class'> | undefined;
  readonly rule: Versioned<'rule'>;
  readonly pools: readonly Versioned<'pool'>[];
  /** Rules that matched as well and came later in the order. */
  readonly passedOver: readonly string[];
}

function byPrecedence(a: Versioned<'rule'>, b: Versioned<'rule'>): number {
  return (
    b.object.spec.precedence - a.object.spec.precedence ||
    b.object.spec.traffic.length - a.object.spec.traffic.length ||
    a.object.name.localeCompare(b.object.name)
  );
}

function isInClass(candidate: Versioned<'request-class'>, traffic: Traffic): boolean {
  const { spec } = candidate.object;
  return (
    traffic.promptTokens >= spec.minPromptTokens &&
    traffic.promptTokens <= (spec.maxPromptTokens ?? Number.POSITIVE_INFINITY) &&
    matchesSelector(spec.traffic, traffic.labels)
  );
}

/** The class of a request: the one with most terms, then by name. */
export function resolveClass(
  configuration: Configuration,
  traffic: Traffic,
): Versioned<'request-class'> | undefined {
  return configuration
    .list('request-class')
    .filter((candidate) => isInClass(candidate, traffic))
    .sort(
      (a, b) =>
        b.object.spec.traffic.length - a.object.spec.traffic.length ||
        a.object.name.localeCompare(b.object.name),
    )[0];
}

/**
 * The rule of a request. Where several match: higher precedence, then more terms, then name.
 * The label `class` holds the name of the request's class.
 */
export function resolveTraffic(
  configuration: Configuration,
  traffic: Traffic,
): Resolution | undefined {
  const requestClass = resolveClass(configuration, traffic);
  const labels = requestClass
    ? { ...traffic.labels, class: requestClass.object.name }
    : traffic.labels;
  const [rule, ...others] = configuration
    .list('rule')
    .filter((candidate) => matchesSelector(candidate.object.spec.traffic, labels))
    .sort(byPrecedence);
  if (!rule) return undefined;
  const pools = configuration
    .list('pool')
    .filter((pool) => matchesSelector(rule.object.spec.pools, pool.object.labels));
  return {
    requestClass,
    rule,
    pools,
    passedOver: others.map((other) => `${other.object.name}@${String(other.revision)}`),
  };
}
