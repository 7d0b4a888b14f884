import { sendFault } from '@poppypond/web';
import type { RouteContext, RouteHandler } from '@poppypond/web';
import type { AdminContext } from '../context.js';
import { findOperator } from './operator.js';
import type { Operator } from './operator.js';

/** A handler of requests from an authenticated operator. */
export type OperatorHandler = (route: RouteContext, operator: Operator) => void | Promise<void>;

/**
 * Wraps a handler so that it runs only for operators. Reads the configuration first, so that new
 * keys are valid at once.
 */
export function guard(context: AdminContext, handler: OperatorHandler): RouteHandler {
  return async (route) => {
    await context.reader.poll();
    const operator = findOperator(
      route.request,
      context.reader.holder.current,
      context.settings.bootstrapKeySha256,
    );
    if (operator.isErr) return sendFault(route.response, operator.error);
    await handler(route, operator.value);
  };
}
