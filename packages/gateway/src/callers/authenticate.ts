import type { IncomingMessage } from 'node:http';
import { fault } from '@poppypond/core';
import type { Fault, Labels } from '@poppypond/core';
import type { Configuration } from '@poppypond/objects';
import { bearerKey, hashKey } from '@poppypond/web';
import { Result } from 'true-myth';

/** Authenticated sender of a request. */
export interface Caller {
  readonly workspace: string;
  readonly user: string;
  /** Labels of the workspace and of the key. */
  readonly labels: Labels;
}

/**
 * Authenticates a request by its bearer key, which determines workspace and user. Labels of the
 * key override those of its workspace.
 */
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
