import type { IncomingMessage } from 'node:http';
import { fault } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { matchesSelector, objectId } from '@poppypond/objects';
import type { ConfigObject, Configuration, Selector } from '@poppypond/objects';
import { bearerKey, hashKey } from '@poppypond/web';
import { Result } from 'true-myth';

/**
 * A `viewer` only reads, an `operator` changes the objects that its scope selects except keys and
 * operators, an `admin` changes all objects.
 */
type Role = 'viewer' | 'operator' | 'admin';

/** The authenticated caller. */
export interface Operator {
  readonly name: string;
  readonly role: Role;
  readonly scope: Selector;
}

const ADMIN_KINDS: ReadonlySet<string> = new Set(['operator', 'key']);
const BOOTSTRAP_NAME = 'bootstrap';

/**
 * Finds the operator by its bearer key. The bootstrap key is accepted only while there is no
 * operator object.
 */
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
 * Returns a fault if an operator may not make this change. The object must be in the operator's
 * scope both before and after the change, so that nobody can move an object into or out of another
 * operator's scope.
 */
export function checkChangeAllowed(
  operator: Operator,
  before: ConfigObject | undefined,
  after: ConfigObject | undefined,
): Fault | undefined {
  if (operator.role === 'admin') return undefined;
  const subject = after ?? before;
  const path = subject ? objectId(subject) : '';
  if (operator.role === 'viewer') return fault('forbidden', 'a viewer changes nothing', { path });
  if (subject && ADMIN_KINDS.has(subject.kind)) {
    return fault('forbidden', 'only an admin may change keys and operators', { path });
  }
  const isOutside = [before, after].some(
    (object) => object !== undefined && !matchesSelector(operator.scope, object.labels),
  );
  return isOutside ? fault('forbidden', 'outside the scope of this operator', { path }) : undefined;
}
