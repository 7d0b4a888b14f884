import type { RequestContent } from '@poppypond/fleet';
import type { CallerHead } from '../ports.js';

/**
 * Returns what identifies a caller's request over all its tries: everything but the identifiers of
 * one try.
 */
export function contentOf(
  { method, hostName, path }: CallerHead,
  workspace: string | undefined,
  body: Buffer,
): RequestContent {
  return { head: [workspace ?? null, method, hostName, path], body };
}
