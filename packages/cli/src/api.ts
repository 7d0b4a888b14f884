import { parseJson } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import { Result } from 'true-myth';
import { z } from 'zod';

/** Address of the operators' API and the key of the operator that calls it. */
export interface ApiAccess {
  readonly url: string;
  readonly key: string;
}

const TIMEOUT_MS = 60_000;
const MIN_ERROR_STATUS = 400;

const errorSchema = z.object({
  error: z.object({ code: z.string(), message: z.string(), number: z.number() }),
});

/** Calls the operators' API. Returns the parsed JSON response, or a one-line error message. */
export async function callApi(
  access: ApiAccess,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<Result<unknown, string>> {
  const reply = await callHttp({
    method,
    url: `${access.url}${path}`,
    headers: { authorization: `Bearer ${access.key}` },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    timeoutMs: TIMEOUT_MS,
  });
  if (reply.isErr) return Result.err(`${access.url}: ${reply.error.detail}`);
  const value = parseJson(reply.value.body);
  if (reply.value.status < MIN_ERROR_STATUS) return Result.ok(value);
  const parsed = errorSchema.safeParse(value);
  if (!parsed.success) return Result.err(`status ${String(reply.value.status)}`);
  const { code, number, message } = parsed.data.error;
  return Result.err(`${code} (${String(number)}): ${message}`);
}
