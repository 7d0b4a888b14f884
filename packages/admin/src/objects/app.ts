import { fault } from '@poppypond/core';
import type { Json } from '@poppypond/core';
import {
  findWarnings,
  isObjectKind,
  matchesSelector,
  objectId,
  parseObjects,
  parseSelector,
} from '@poppypond/objects';
import type { ConfigObject, Configuration, ObjectChange, StoredObject } from '@poppypond/objects';
import type { ObjectWrite } from '@poppypond/state';
import { parseBody, readBody, sendFault, sendJson } from '@poppypond/web';
import type { RouteContext, Router } from '@poppypond/web';
import { z } from 'zod';
import { guard } from '../access/guard.js';
import { checkChangeAllowed } from '../access/operator.js';
import type { Operator } from '../access/operator.js';
import type { AdminContext } from '../context.js';
import { diffObjects } from './diff.js';

const MAX_BODY_BYTES = 4_000_000;
const BODY_TIMEOUT_MS = 10_000;
const MAX_OBJECTS = 500;

/** The body of `POST /v1/apply`. */
export const applySchema = z.strictObject({
  why: z.string().min(1).max(500),
  /** A change that is sent again with the same identifier takes effect only once. */
  changeId: z.string().min(1).max(64).optional(),
  dryRun: z.boolean().default(false),
  objects: z.array(z.unknown()).max(MAX_OBJECTS).default([]),
  /** Objects to delete, as `kind/name`. */
  deletes: z.array(z.string()).max(MAX_OBJECTS).default([]),
  /**
   * Maps `kind/name` to the revision that the object must have; 0 requires that the object does not
   * exist.
   */
  expected: z.record(z.string(), z.int().nonnegative()).default({}),
});

type ApplyBody = z.infer<typeof applySchema>;

function toJson({ object, revision }: StoredObject): Json {
  return { ...object, revision };
}

function listObjects(context: AdminContext, route: RouteContext): void {
  const kind = route.query.get('kind');
  if (kind !== null && !isObjectKind(kind)) {
    return sendFault(route.response, fault('bad_field', 'unknown object kind', { path: 'kind' }));
  }
  const selector = parseSelector(route.query.get('selector') ?? '');
  if (!selector) {
    return sendFault(
      route.response,
      fault('bad_field', 'malformed label selector', { path: 'selector' }),
    );
  }
  const { current } = context.reader.holder;
  const objects = current
    .all()
    .filter(({ object }) => kind === null || object.kind === kind)
    .filter(({ object }) => matchesSelector(selector, object.labels));
  sendJson(route.response, 200, { revision: current.revision, objects: objects.map(toJson) });
}

function getObject(context: AdminContext, route: RouteContext): void {
  const id = `${route.params['kind'] ?? ''}/${route.params['name'] ?? ''}`;
  const stored = context.reader.holder.current.objects.get(id);
  if (!stored) return sendFault(route.response, fault('not_found', id));
  sendJson(route.response, 200, toJson(stored));
}

function toWrites(body: ApplyBody, objects: readonly ConfigObject[]): readonly ObjectWrite[] {
  const expectedRevisionOf = (id: string) => {
    const expected = body.expected[id];
    return expected === undefined ? {} : { expected };
  };
  const puts = objects.map((object) => {
    const id = objectId(object);
    return { id, after: object, ...expectedRevisionOf(id) };
  });
  return [...puts, ...body.deletes.map((id) => ({ id, after: null, ...expectedRevisionOf(id) }))];
}

function previewConfiguration(
  current: Configuration,
  writes: readonly ObjectWrite[],
): Configuration {
  const revision = current.revision + 1;
  const changes: readonly ObjectChange[] = writes.map(({ id, after }) => ({ id, after, revision }));
  return current.advance(changes);
}

function checkWritesAllowed(
  current: Configuration,
  operator: Operator,
  writes: readonly ObjectWrite[],
) {
  for (const { id, after } of writes) {
    const before = current.objects.get(id)?.object;
    const problem = checkChangeAllowed(operator, before, after ?? undefined);
    if (problem) return problem;
  }
  return undefined;
}

/**
 * Applies a change and responds with its revision, differences and warnings. A dry run stores
 * nothing.
 */
async function applyWrites(
  context: AdminContext,
  route: RouteContext,
  operator: Operator,
  body: ApplyBody,
  objects: readonly ConfigObject[],
): Promise<void> {
  const { current } = context.reader.holder;
  const writes = toWrites(body, objects);
  const missing = body.deletes.find((id) => !current.objects.has(id));
  if (missing !== undefined) return sendFault(route.response, fault('not_found', missing));
  const forbidden = checkWritesAllowed(current, operator, writes);
  if (forbidden) return sendFault(route.response, forbidden);
  const warnings = findWarnings(objects, previewConfiguration(current, writes));
  const diff = writes.map(({ id, after }) => ({
    id,
    fields: diffObjects(current.objects.get(id)?.object ?? null, after).map((f) => ({ ...f })),
  }));
  if (body.dryRun) return sendJson(route.response, 200, { dryRun: true, diff, warnings });
  const applied = await context.writer.apply({
    operator: operator.name,
    why: body.why,
    writes,
    ...(body.changeId === undefined ? {} : { changeId: body.changeId }),
  });
  if (applied.isErr) return sendFault(route.response, applied.error);
  const { audit, isRepeat } = applied.value;
  const { revision, changeId } = audit;
  context.log.info('change_accepted', { revision, changeId, operator: operator.name });
  sendJson(route.response, 200, { revision, changeId, isRepeat, diff, warnings });
}

async function apply(context: AdminContext, route: RouteContext, operator: Operator) {
  const bytes = await readBody(route.request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
  const body = bytes.andThen((text) => parseBody(text.toString('utf8'), applySchema));
  if (body.isErr) return sendFault(route.response, body.error);
  const objects = parseObjects(body.value.objects);
  if (objects.isErr) {
    const [first] = objects.error;
    const detail = objects.error.map(({ path, problem }) => `${path}: ${problem}`).join('; ');
    const problem = fault('invalid_object', detail, first ? { path: first.path } : {});
    return sendFault(route.response, problem);
  }
  await applyWrites(context, route, operator, body.value, objects.value);
}

async function deleteObject(context: AdminContext, route: RouteContext, operator: Operator) {
  const id = `${route.params['kind'] ?? ''}/${route.params['name'] ?? ''}`;
  const why = route.query.get('why') ?? '';
  const body = applySchema.safeParse({ why, deletes: [id] });
  if (!body.success) {
    return sendFault(
      route.response,
      fault('bad_field', 'why must have 1 to 500 characters', { path: 'why' }),
    );
  }
  await applyWrites(context, route, operator, body.data, []);
}

/** Registers the paths that read and change configuration objects. */
export function addObjectRoutes(router: Router, context: AdminContext): void {
  router
    .on(
      'GET',
      '/v1/objects',
      guard(context, (route) => {
        listObjects(context, route);
      }),
    )
    .on(
      'GET',
      '/v1/objects/:kind/:name',
      guard(context, (route) => {
        getObject(context, route);
      }),
    )
    .on(
      'DELETE',
      '/v1/objects/:kind/:name',
      guard(context, (route, operator) => deleteObject(context, route, operator)),
    )
    .on(
      'POST',
      '/v1/apply',
      guard(context, (route, operator) => apply(context, route, operator)),
    );
}
