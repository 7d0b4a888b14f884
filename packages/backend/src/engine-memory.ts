import { parseJson } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import { Result } from 'true-myth';
import { z } from 'zod';

const CALL_TIMEOUT_MS = 2000;

const reservedSchema = z.object({ reservation: z.string() });
const renewedSchema = z.object({ lost: z.array(z.string()) });
const releasedSchema = z.object({ tokens: z.number() });
const reservationSchema = z.object({
  id: z.string(),
  owner: z.string(),
  requestId: z.string(),
  attempt: z.number(),
  tokens: z.number(),
  renewals: z.number(),
  ttlMs: z.number(),
  timeRemainingMs: z.number(),
  isRunning: z.boolean(),
});
const listSchema = z.object({ reservations: z.array(reservationSchema) });

/** Memory that an engine has reserved for a request. */
export type MemoryReservation = Readonly<z.infer<typeof reservationSchema>>;

/** A call to reserve memory. */
export interface ReserveCall {
  readonly owner: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly tokens: number;
  readonly ttlMs: Milliseconds;
  readonly timeRemainingMs: Milliseconds;
}

/**
 * Why memory could not be reserved. After `unknown` the engine may have reserved it nevertheless.
 */
export type ReserveFailure = 'no_memory' | 'unreachable' | 'unknown';

const CREATED = 201;
const OK = 200;

async function post<Schema extends z.ZodType>(
  url: string,
  body: unknown,
  schema: Schema,
): Promise<Result<z.infer<Schema>, string>> {
  const text = JSON.stringify(body);
  const reply = await callHttp({ method: 'POST', url, body: text, timeoutMs: CALL_TIMEOUT_MS });
  if (reply.isErr) return Result.err(reply.error.reason);
  const parsed = schema.safeParse(parseJson(reply.value.body));
  if (reply.value.status !== OK || !parsed.success) {
    return Result.err(`status ${String(reply.value.status)}`);
  }
  return Result.ok(parsed.data);
}

/** Reserves memory on an engine. Returns the identifier of the reservation. */
export async function reserveMemory(
  engineUrl: string,
  call: ReserveCall,
): Promise<Result<string, ReserveFailure>> {
  const reply = await callHttp({
    method: 'POST',
    url: `${engineUrl}/reservations`,
    body: JSON.stringify(call),
    timeoutMs: CALL_TIMEOUT_MS,
  });
  if (reply.isErr) return Result.err(reply.error.mayHaveArrived ? 'unknown' : 'unreachable');
  const reserved = reservedSchema.safeParse(parseJson(reply.value.body));
  if (reply.value.status === CREATED && reserved.success) {
    return Result.ok(reserved.data.reservation);
  }
  return Result.err('no_memory');
}

/** Renews reservations. Returns those that the engine no longer holds for this owner. */
export function renewReservations(
  engineUrl: string,
  owner: string,
  reservations: readonly string[],
  ttlMs: Milliseconds,
): Promise<Result<readonly string[], string>> {
  const body = { owner, reservations, ttlMs };
  return post(`${engineUrl}/reservations/renew`, body, renewedSchema).then((renewed) =>
    renewed.map(({ lost }) => lost),
  );
}

/** Releases reservations. Returns the number of tokens that became free. */
export function releaseReservations(
  engineUrl: string,
  reservations: readonly string[],
): Promise<Result<number, string>> {
  return post(`${engineUrl}/reservations/release`, { reservations }, releasedSchema).then(
    (released) => released.map(({ tokens }) => tokens),
  );
}

/** Returns all reservations that an engine holds. */
export async function listReservations(
  engineUrl: string,
): Promise<Result<readonly MemoryReservation[], string>> {
  const url = `${engineUrl}/reservations`;
  const reply = await callHttp({ method: 'GET', url, timeoutMs: CALL_TIMEOUT_MS });
  if (reply.isErr) return Result.err(reply.error.reason);
  const parsed = listSchema.safeParse(parseJson(reply.value.body));
  return parsed.success
    ? Result.ok(parsed.data.reservations)
    : Result.err('malformed list of reservations');
}
