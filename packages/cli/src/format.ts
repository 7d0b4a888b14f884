import type { z } from 'zod';
import type { applyReply, auditReply, explainReply, objectsReply, statusReply } from './replies.js';

function formatLabels(labels: Readonly<Record<string, string>>): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}=${value}`)
    .join(',');
}

/** Formats rows as columns, each padded to its widest cell. */
function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, index) => {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    });
  }
  return rows
    .map((row) =>
      row
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats objects as a table. */
export function formatObjects(reply: z.infer<typeof objectsReply>): string {
  const rows = reply.objects.map(({ kind, name, revision, labels }) => [
    kind,
    name,
    String(revision),
    formatLabels(labels),
  ]);
  return formatTable([['KIND', 'NAME', 'REVISION', 'LABELS'], ...rows]);
}

/** Formats the differences and warnings of a change, and its revision. */
export function formatApply(reply: z.infer<typeof applyReply>): string {
  const lines = reply.diff.flatMap(({ id, fields }) => [
    fields.length > 0 ? id : `${id} (unchanged)`,
    ...fields.map(({ path, before, after }) => `  ${path}: ${before ?? '-'} -> ${after ?? '-'}`),
  ]);
  const warnings = reply.warnings.map((warning) => `warning: ${warning}`);
  const repeat = reply.isRepeat ? ' (already accepted)' : '';
  const end =
    reply.revision === undefined ? 'dry run' : `revision ${String(reply.revision)}${repeat}`;
  return [...lines, ...warnings, end].join('\n');
}

/** Formats the audit trail as a table with one line for each change of an object. */
export function formatAudit(reply: z.infer<typeof auditReply>): string {
  const rows = reply.rows.flatMap(({ revision, wallMs, operator, why, changes }) =>
    changes.map(({ id, before, after }) => {
      const what = before === null ? 'created' : after === null ? 'deleted' : 'changed';
      return [String(revision), new Date(wallMs).toISOString(), operator, what, id, why];
    }),
  );
  return formatTable([['REVISION', 'TIME', 'OPERATOR', 'WHAT', 'OBJECT', 'WHY'], ...rows]);
}

/** Formats the hosts and the configuration revision that each has applied. */
export function formatStatus(reply: z.infer<typeof statusReply>): string {
  const rows = reply.hosts.map((host) => [
    host.host ?? host.url,
    host.zone ?? '',
    host.state,
    String(host.revision ?? ''),
    String(host.inProgress ?? ''),
    String(host.waiting ?? ''),
  ]);
  const header = ['HOST', 'ZONE', 'STATE', 'REVISION', 'IN-PROGRESS', 'WAITING'];
  return `newest revision ${String(reply.revision)}\n${formatTable([header, ...rows])}`;
}

/**
 * Formats decisions as text: the choice, its rule, the state it depended on and the rejected
 * candidates.
 */
export function formatExplain(reply: z.infer<typeof explainReply>): string {
  return reply.decisions
    .map((decision) => {
      const time = new Date(decision.wallMs).toISOString();
      const rule = decision.rule === undefined ? '' : ` by rule ${decision.rule}`;
      const state = Object.entries(decision.state)
        .filter(([, value]) => value !== '')
        .map(([key, value]) => `${key}=${String(value)}`)
        .join(' ');
      const over = decision.passedOver.map(({ candidate, why }) => `    not ${candidate}: ${why}`);
      return [
        `${time} ${decision.host} ${decision.kind}: ${decision.choice}${rule}` +
          ` (configuration ${String(decision.revision)})`,
        `    request ${decision.requestId ?? '-'} labels ${formatLabels(decision.labels)}`,
        ...(state === '' ? [] : [`    state ${state}`]),
        ...over,
      ].join('\n');
    })
    .join('\n');
}
