import type { IncomingMessage } from 'node:http';
import { fault } from '@poppypond/core';
import type { Fault, Labels, Milliseconds } from '@poppypond/core';
import { labelsSchema } from '@poppypond/objects';
import { Result } from 'true-myth';
import { z } from 'zod';

const MAX_TIME_LIMIT_MS = 3_600_000;
const MAX_KEY_LENGTH = 200;

/** Request headers that a caller may set; all are optional. */
export interface CallerHeaders {
  /** From `x-poppypond-time-limit-ms`. */
  readonly timeLimitMs: Milliseconds | undefined;
  readonly idempotencyKey: string | undefined;
  /** From `x-poppypond-labels: a=b,c=d`. */
  readonly labels: Labels;
  /**
   * From `last-event-id: REQUEST:INDEX`, to resume a stream after that token; `offset` is the
   * index of the first token to send.
   */
  readonly resume: { readonly requestId: string; readonly offset: number } | undefined;
}

const headersSchema = z.object({
  'x-poppypond-time-limit-ms': z.coerce
    .number<string>()
    .positive()
    .max(MAX_TIME_LIMIT_MS)
    .optional(),
  'idempotency-key': z.string().min(1).max(MAX_KEY_LENGTH).optional(),
  'x-poppypond-labels': z
    .string()
    .transform((text) => Object.fromEntries(text.split(',').map(splitPair)))
    .pipe(labelsSchema)
    .default({}),
  'last-event-id': z
    .string()
    .regex(/^[a-z0-9.-]+:\d+$/)
    .optional(),
});

function splitPair(text: string): readonly [string, string] {
  const [key = '', ...value] = text.split('=');
  return [key.trim(), value.join('=').trim()];
}

function parseResume(text: string | undefined): CallerHeaders['resume'] {
  if (text === undefined) return undefined;
  const [requestId = '', index = '0'] = text.split(':');
  return { requestId, offset: Number(index) + 1 };
}

/** Parses a caller's headers; the `path` of a fault is the name of the malformed header. */
export function readCallerHeaders(request: IncomingMessage): Result<CallerHeaders, Fault> {
  const parsed = headersSchema.safeParse(request.headers);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = String(issue?.path[0]);
    return Result.err(fault('bad_field', issue?.message ?? 'invalid', { path }));
  }
  const headers = parsed.data;
  return Result.ok({
    timeLimitMs: headers['x-poppypond-time-limit-ms'],
    idempotencyKey: headers['idempotency-key'],
    labels: headers['x-poppypond-labels'],
    resume: parseResume(headers['last-event-id']),
  });
}
