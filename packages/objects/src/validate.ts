import type { Labels } from '@poppypond/core';
import { Result } from 'true-myth';
import type { z } from 'zod';
import type { Configuration } from './configuration.js';
import type { ConfigObject } from './kinds.js';
import { objectId, objectSchema } from './kinds.js';
import { isUnsatisfiable, matchesSelector } from './selector.js';
import type { Selector } from './selector.js';

/** An invalid field: its path and what is wrong with it. */
export interface FieldProblem {
  readonly path: string;
  readonly problem: string;
}

function problemsOf(error: z.ZodError, prefix: string): readonly FieldProblem[] {
  return error.issues.map((issue) => ({
    path: [prefix, ...issue.path.map(String)].join('.'),
    problem: issue.message,
  }));
}

/**
 * Validates all objects. Returns either all of them with defaults filled in, or every invalid
 * field.
 */
export function parseObjects(
  values: readonly unknown[],
): Result<readonly ConfigObject[], readonly FieldProblem[]> {
  const objects: ConfigObject[] = [];
  const problems: FieldProblem[] = [];
  const seen = new Set<string>();
  values.forEach((value, index) => {
    const prefix = `objects.${String(index)}`;
    const parsed = objectSchema.safeParse(value);
    if (!parsed.success) {
      problems.push(...problemsOf(parsed.error, prefix));
      return;
    }
    const id = objectId(parsed.data);
    if (seen.has(id)) problems.push({ path: prefix, problem: `${id} is given twice` });
    seen.add(id);
    objects.push(parsed.data);
  });
  return problems.length > 0 ? Result.err(problems) : Result.ok(objects);
}

function selectorWarnings(
  where: string,
  selector: Selector,
  candidates: readonly Labels[],
): readonly string[] {
  if (isUnsatisfiable(selector)) return [`${where} can never match`];
  if (candidates.some((labels) => matchesSelector(selector, labels))) return [];
  return [`${where} matches no object now`];
}

function warningsOf(object: ConfigObject, configuration: Configuration): readonly string[] {
  const id = objectId(object);
  const pools = configuration.list('pool').map((pool) => pool.object.labels);
  switch (object.kind) {
    case 'rule': {
      const trafficWarnings = isUnsatisfiable(object.spec.traffic)
        ? [`${id}: traffic can never match`]
        : [];
      if (object.spec.action === 'refuse') return trafficWarnings;
      return [...trafficWarnings, ...selectorWarnings(`${id}: pools`, object.spec.pools, pools)];
    }
    case 'model':
      return selectorWarnings(`${id}: pools`, object.spec.pools, pools);
    case 'pool': {
      const servers = configuration.list('backend-server').map((server) => server.object.labels);
      return selectorWarnings(`${id}: members`, object.spec.members, servers);
    }
    case 'request-class':
      return isUnsatisfiable(object.spec.traffic) ? [`${id}: traffic can never match`] : [];
    case 'key':
      return configuration.get('workspace', object.spec.workspace)
        ? []
        : [`${id}: workspace ${object.spec.workspace} does not exist`];
    default:
      return [];
  }
}

/** Returns warnings for the operator about `objects`, which `configuration` already contains. */
export function findWarnings(
  objects: readonly ConfigObject[],
  configuration: Configuration,
): readonly string[] {
  return objects.flatMap((object) => warningsOf(object, configuration));
}
