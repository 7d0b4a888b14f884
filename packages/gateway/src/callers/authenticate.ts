import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { fault } from '@poppypond/core';
import type { Fault, Labels } from '@poppypond/core';
import type { Configuration } from '@poppypond/objects';
import { Result } from 'true-myth';

/** Who sent a request. */
export interface Caller {
  readonly workspace: string;
  readonly user: string;
  /** Labels of the workspace and of the key. */
  readonly labels: Labels;
}

const BEARER = /^Bearer (\S+)$/;

/** SHA-256 of a key in hexadecimal, as key objects hold it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The key in the `Authorization` header. */
export function bearerKey(request: IncomingMessage): string | undefined {
  return BEARER.exec(request.headers.authorization ?? '')?.[1];
}

/** Finds the caller by key; the key fixes the workspace. */
export function authenticate(
  request: IncomingMessage,
  configuration: Configuration,
): Result<Caller, Fault> {
  const key = bearerKey(request);
  if (key === undefined) return Result.err(fault('unauthenticated', 'send Authorization: Bearer'));
  const found = configuration.findKey(hashKey(key));
  if (!found) return Result.err(fault('unauthenticated', ''));
  const { workspace, user } = found.object.spec;
  const workspaceLabels = configuration.get('workspace', workspace)?.object.labels ?? {};
  const labels = { ...workspaceLabels, ...found.object.labels, workspace, user };
  return Result.ok({ workspace, user, labels });
}
