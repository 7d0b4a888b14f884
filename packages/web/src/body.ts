import type { IncomingMessage } from 'node:http';
import { fault, parseJson } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { Result } from 'true-myth';
import type { z } from 'zod';
import { ReceivedBytes } from './received-bytes.js';

/** Reads a complete request body of at most `maxBytes` within `timeoutMs`. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  timeoutMs: Milliseconds,
): Promise<Result<Buffer, Fault>> {
  return new Promise((resolve) => {
    const received = new ReceivedBytes();
    const finish = (result: Result<Buffer, Fault>) => {
      clearTimeout(timer);
      request.removeListener('data', onData);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      if (received.length + chunk.length <= maxBytes) return received.push(chunk);
      request.resume();
      finish(Result.err(fault('body_too_large', `the body exceeds ${String(maxBytes)} bytes`)));
    };
    const timer = setTimeout(() => {
      finish(
        Result.err(
          fault('caller_slow', `the body was not complete within ${String(timeoutMs)} ms`),
        ),
      );
    }, timeoutMs);
    request.on('data', onData);
    request.once('end', () => {
      finish(Result.ok(received.take()));
    });
    request.once('close', () => {
      finish(Result.err(fault('cancelled_waiting', 'the caller closed the connection')));
    });
  });
}

/** Parses and validates a JSON body. The path of the fault is the first invalid field. */
export function parseBody<Schema extends z.ZodType>(
  body: string,
  schema: Schema,
): Result<z.infer<Schema>, Fault> {
  const value = parseJson(body);
  if (value === undefined) return Result.err(fault('bad_json', 'the body is not valid JSON'));
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const issue = parsed.error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return Result.err(fault('bad_field', issue?.message ?? 'invalid', { path }));
}
