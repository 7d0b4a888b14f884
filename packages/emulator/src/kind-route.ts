import type { Route } from '@poppypond/routing';
import type { RequestKind } from './deployment.js';

/** The service of all requests of a simulation. */
export const SERVICE = 'engines';
/** Priority of kinds that name none. */
export const DEFAULT_PRIORITY = 1;
/** Number of engines that one request may be sent to. */
export const MAX_ATTEMPTS = 2;

/** The route of a kind of request. */
export function routeOf(kind: RequestKind): Route {
  const { name, timeoutMs, aimMs, gapAimMs, priority = DEFAULT_PRIORITY } = kind;
  return {
    name,
    hostName: name,
    pathPrefix: '/',
    kind: 'stream',
    isResumable: true,
    targets: [{ service: SERVICE, weight: 1 }],
    maxAttempts: MAX_ATTEMPTS,
    timeoutMs,
    aimMs,
    gapAimMs,
    priority,
    isAuthExempt: true,
  };
}
