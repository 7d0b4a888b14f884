import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

const BEARER_PATTERN = /^Bearer (\S+)$/;

/** Returns the bearer key in the `Authorization` header, or undefined if there is none. */
export function bearerKey(request: IncomingMessage): string | undefined {
  return BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1];
}

/** Returns the SHA-256 of a key in hexadecimal, as key and operator objects store it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
