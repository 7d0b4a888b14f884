import type { Milliseconds } from '@poppypond/core';
import type { IncomingHttpHeaders } from 'node:http';

const MS_PER_SECOND = 1000;
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
/**
 * HTTP dates begin with a day of the week; other formats that `Date.parse` accepts are not valid
 * here.
 */
const DATE_PATTERN = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun)[a-z]*,? /;

function parseHttpDate(text: string | undefined): Milliseconds | undefined {
  if (text === undefined || !DATE_PATTERN.test(text)) return undefined;
  const atMs = Date.parse(text);
  return Number.isNaN(atMs) ? undefined : atMs;
}

function positiveOrUndefined(durationMs: Milliseconds): Milliseconds | undefined {
  return durationMs > 0 ? durationMs : undefined;
}

/**
 * Returns the time for which the sender of these headers asks for no more requests. `Retry-After`
 * holds seconds (also fractions) or a date. A date is compared with the sender's `Date` header, or
 * with `nowMs` (Unix time) if that is missing. Returns undefined if `Retry-After` is absent, cannot
 * be parsed, or is zero or in the past.
 */
export function readRetryAfter(
  headers: IncomingHttpHeaders,
  nowMs: Milliseconds,
): Milliseconds | undefined {
  const text = headers['retry-after']?.trim();
  if (text === undefined) return undefined;
  if (SECONDS_PATTERN.test(text)) return positiveOrUndefined(Number(text) * MS_PER_SECOND);
  const untilMs = parseHttpDate(text);
  return untilMs === undefined
    ? undefined
    : positiveOrUndefined(untilMs - (parseHttpDate(headers.date) ?? nowMs));
}
