import type { Labels } from '@poppypond/core';
import type { Configuration, Versioned } from './configuration.js';
import { matchesSelector } from './selector.js';

/** The properties of a request that determine its class, rule and pools. */
export interface Traffic {
  /**
   * Labels of the caller and of its workspace, and the labels `workspace`, `user`, `model`,
   * `service`.
   */
  readonly labels: Labels;
  readonly promptTokens: number;
}

/** The class, rule and pools of a request. */
export interface Resolution {
  readonly requestClass: Versioned<'request-class'> | undefined;
  readonly rule: Versioned<'rule'>;
  readonly pools: readonly Versioned<'pool'>[];
  /** Other matching rules, which come later in the order, as `name@revision`. */
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

/**
 * Returns the class of a request. If several match: the one with the most selector terms, then by
 * name.
 */
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
 * Returns the class, rule and pools of a request, or undefined if no rule matches. If several rules
 * match, the order is: higher precedence, then more selector terms, then name. Rules can select by
 * the label `class`, the name of the request's class.
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
