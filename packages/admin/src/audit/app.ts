import { fault } from '@poppypond/core';
import { matchesSelector, parseSelector } from '@poppypond/objects';
import { AUDIT_PREFIX, auditKey, auditRowSchema, scanAll } from '@poppypond/state';
import type { AuditRow } from '@poppypond/state';
import { sendFault, sendJson } from '@poppypond/web';
import type { RouteContext, Router } from '@poppypond/web';
import { guard } from '../access/guard.js';
import type { AdminContext } from '../context.js';

const MAX_ROWS = 1000;
const WATCH_PERIOD_MS = 500;

function matchesQuery(row: AuditRow, query: URLSearchParams): boolean {
  const object = query.get('object');
  const operator = query.get('operator');
  const selector = parseSelector(query.get('selector') ?? '') ?? [];
  const hasObject = object === null || row.changes.some((change) => change.id === object);
  const hasOperator = operator === null || row.operator === operator;
  const isInTimeRange =
    row.wallMs >= Number(query.get('from') ?? 0) &&
    row.wallMs <= Number(query.get('to') ?? Number.POSITIVE_INFINITY);
  const hasSelectedLabels = row.changes.some((change) =>
    matchesSelector(selector, (change.after ?? change.before)?.labels ?? {}),
  );
  return hasObject && hasOperator && isInTimeRange && hasSelectedLabels;
}

async function listAudit(context: AdminContext, route: RouteContext): Promise<void> {
  const { query, response } = route;
  if (!parseSelector(query.get('selector') ?? '')) {
    return sendFault(
      response,
      fault('bad_field', 'malformed label selector', { path: 'selector' }),
    );
  }
  const after = Number(query.get('after') ?? 0);
  const rows = await scanAll(context.table, AUDIT_PREFIX, auditKey(after));
  if (rows.isErr) return sendFault(response, fault('store_down', rows.error.detail));
  const wanted = rows.value
    .map((row) => auditRowSchema.parse(row.value))
    .filter((row) => matchesQuery(row, query))
    .slice(-MAX_ROWS);
  sendJson(response, 200, { rows: wanted.map((row) => ({ ...row })) });
}

/** Streams each accepted change as a line of JSON until the operator disconnects. */
async function watch(context: AdminContext, { query, response }: RouteContext): Promise<void> {
  let after = Number(query.get('after') ?? context.reader.holder.current.revision);
  response.writeHead(200, { 'content-type': 'application/x-ndjson' });
  response.flushHeaders();
  while (!response.destroyed) {
    await context.reader.poll();
    if (context.reader.holder.current.revision > after) {
      const rows = await scanAll(context.table, AUDIT_PREFIX, auditKey(after));
      for (const row of rows.isOk ? rows.value : []) {
        const audit = auditRowSchema.parse(row.value);
        response.write(`${JSON.stringify(audit)}\n`);
        after = audit.revision;
      }
    }
    await new Promise<void>((resolve) => {
      context.clock.after(WATCH_PERIOD_MS, resolve);
    });
  }
}

/** Registers the paths of the audit trail. */
export function addAuditRoutes(router: Router, context: AdminContext): void {
  router
    .on(
      'GET',
      '/v1/audit',
      guard(context, (route) => listAudit(context, route)),
    )
    .on(
      'GET',
      '/v1/watch',
      guard(context, (route) => watch(context, route)),
    );
}
