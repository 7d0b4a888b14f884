import type { Milliseconds } from '@poppypond/core';
import type { IncomingHttpHeaders } from 'node:http';

const MS_PER_SECOND = 1000;
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
/** Dates of HTTP begin with a day of the week; what else can be read as a date is none here. */
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
 * How long the sender of these headers asks to be left alone: seconds, fractions too, or a date by its own clock
 * where it tells that; undefined where it asks for nothing or for what can't be read. `nowMs`: Unix time, for dates
 * of those that don't tell theirs.
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
