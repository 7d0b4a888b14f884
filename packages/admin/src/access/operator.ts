import type { IncomingMessage } from 'node:http';
import { fault } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { matchesSelector, objectId } from '@poppypond/objects';
import type { ConfigObject, Configuration, Selector } from '@poppypond/objects';
import { bearerKey, hashKey } from '@poppypond/web';
import { Result } from 'true-myth';

/** `viewer` reads, `operator` changes what its scope selects, `admin` changes everything. */
type Role = 'viewer' | 'operator' | 'admin';

/** Who is calling. */
export interface Operator {
  readonly name: string;
  readonly role: Role;
  readonly scope: Selector;
}

const ADMIN_KINDS: ReadonlySet<string> = new Set(['operator', 'key']);
const BOOTSTRAP_NAME = 'bootstrap';

/** Finds the operator by key. The bootstrap key counts only while there is no operator. */
export function findOperator(
  request: IncomingMessage,
  configuration: Configuration,
  bootstrapSha256: string | undefined,
): Result<Operator, Fault> {
  const key = bearerKey(request);
  if (key === undefined) return Result.err(fault('unauthenticated', 'send Authorization: Bearer'));
  const sha256 = hashKey(key);
  const operators = configuration.list('operator');
  const found = operators.find((operator) => operator.object.spec.sha256 === sha256);
  if (found) {
    const { name, spec } = found.object;
    return Result.ok({ name, role: spec.role, scope: spec.scope });
  }
  if (operators.length === 0 && sha256 === bootstrapSha256) {
    return Result.ok({ name: BOOTSTRAP_NAME, role: 'admin', scope: [] });
  }
  return Result.err(fault('unauthenticated', ''));
}

/**
 * Whether an operator may make this change. Both what was there and what comes must be in
 * scope, so that nobody can move an object out of or into another's scope.
 */
export function checkMayChange(
  operator: Operator,
  before: ConfigObject | undefined,
  after: ConfigObject | undefined,
): Fault | undefined {
  if (operator.role === 'admin') return undefined;
  const subject = after ?? before;
  const path = subject ? objectId(subject) : '';
  if (operator.role === 'viewer') return fault('forbidden', 'a viewer changes nothing', { path });
  if (subject && ADMIN_KINDS.has(subject.kind)) {
    return fault('forbidden', 'only an admin changes keys and operators', { path });
  }
  const isOutside = [before, after].some(
    (object) => object !== undefined && !matchesSelector(operator.scope, object.labels),
  );
  return isOutside ? fault('forbidden', 'outside the scope of this operator', { path }) : undefined;
}
