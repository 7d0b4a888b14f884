import { readFileSync } from 'node:fs';
import { parseJson } from '@poppypond/core';
import { Command, Option } from 'clipanion';
import { z } from 'zod';
import { ApiCommand } from './api-command.js';
import { formatApply, formatAudit, formatExplain, formatObjects, formatStatus } from './format.js';
import { LossesCommand } from './losses.js';
import { formatRelayStatus, readRelayStatus, relayStatusReply } from './relay-status.js';
import { WhyCommand } from './why.js';
import { applyReply, auditReply, explainReply, objectsReply, statusReply } from './replies.js';

const fileSchema = z.union([z.array(z.unknown()), z.object({ objects: z.array(z.unknown()) })]);

/**
 * Reads a JSON file that holds a list of objects or has one in its field `objects`. Returns
 * undefined otherwise.
 */
function readObjects(file: string): readonly unknown[] | undefined {
  const parsed = fileSchema.safeParse(parseJson(readFileSync(file, 'utf8')));
  if (!parsed.success) return undefined;
  return Array.isArray(parsed.data) ? parsed.data : parsed.data.objects;
}

function buildQuery(values: Readonly<Record<string, string | undefined>>): string {
  const search = new URLSearchParams();
  for (const [key, value] of Object.entries(values)) {
    if (value !== undefined) search.set(key, value);
  }
  return search.toString();
}

class GetCommand extends ApiCommand {
  static override paths = [['get']];
  static override usage = Command.Usage({
    description: 'List objects.',
    examples: [['Rules of one team', 'poppypond get rule --selector team=assistant']],
  });

  readonly kind = Option.String({ required: false });
  readonly selector = Option.String('--selector', {
    description: 'only objects with these labels',
  });

  override async execute(): Promise<number> {
    const path = `/v1/objects?${buildQuery({ kind: this.kind, selector: this.selector })}`;
    return this.show(await this.call('GET', path), objectsReply, formatObjects);
  }
}

class ApplyCommand extends ApiCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'Create or change the objects in a file, all or none.',
    examples: [['Apply and wait for all hosts', 'poppypond apply rules.json --why "more" --wait']],
  });

  readonly file = Option.String();
  readonly why = Option.String('--why', { description: 'the reason, for the audit trail' });
  readonly changeId = Option.String('--change-id', {
    description:
      'identifier of the change; a change that is sent again with it takes effect only once',
  });
  readonly expect = Option.Array('--expect', [], {
    description: 'KIND/NAME=REVISION that the object must have; 0 if it must not exist',
  });
  readonly dryRun = Option.Boolean('--dry-run', false, {
    description: 'show the differences and change nothing',
  });
  readonly wait = Option.Boolean('--wait', false, {
    description: 'wait until all reachable hosts have applied the change',
  });

  override async execute(): Promise<number> {
    const objects = readObjects(this.file);
    if (!objects) return this.usage(`${this.file}: not a JSON list of objects`);
    if (this.why === undefined && !this.dryRun) return this.usage('--why: a reason is required');
    const expected = this.expect.map((text) => text.split('='));
    const reply = await this.call('POST', '/v1/apply', {
      why: this.why ?? 'dry run',
      ...(this.changeId === undefined ? {} : { changeId: this.changeId }),
      dryRun: this.dryRun,
      objects,
      expected: Object.fromEntries(expected.map(([id, revision]) => [id, Number(revision)])),
    });
    const code = this.show(reply, applyReply, formatApply);
    if (code !== 0 || !this.wait || reply.isErr) return code;
    const { revision } = applyReply.parse(reply.value);
    const waited = await this.call('GET', `/v1/wait/${String(revision)}`);
    return waited.isErr ? this.fail(waited.error) : 0;
  }
}

class DiffCommand extends ApiCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'Show what applying a file would change.',
  });

  readonly file = Option.String();

  override async execute(): Promise<number> {
    const objects = readObjects(this.file);
    if (!objects) return this.usage(`${this.file}: not a JSON list of objects`);
    const body = { why: 'diff', dryRun: true, objects };
    return this.show(await this.call('POST', '/v1/apply', body), applyReply, formatApply);
  }
}

class DeleteCommand extends ApiCommand {
  static override paths = [['delete']];
  static override usage = Command.Usage({ description: 'Delete an object.' });

  readonly id = Option.String({ name: 'KIND/NAME' });
  readonly why = Option.String('--why', { description: 'the reason, for the audit trail' });

  override async execute(): Promise<number> {
    if (this.why === undefined) return this.usage('--why: a reason is required');
    const path = `/v1/objects/${this.id}?${buildQuery({ why: this.why })}`;
    return this.show(await this.call('DELETE', path), applyReply, formatApply);
  }
}

class AuditCommand extends ApiCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    description: 'Show who changed what, when and why.',
  });

  readonly object = Option.String('--object', { description: 'KIND/NAME' });
  readonly operator = Option.String('--operator', { description: 'name of the operator' });
  readonly selector = Option.String('--selector', {
    description: 'only objects with these labels',
  });
  readonly from = Option.String('--from', { description: 'ISO time' });
  readonly to = Option.String('--to', { description: 'ISO time' });

  override async execute(): Promise<number> {
    const path = `/v1/audit?${buildQuery({
      object: this.object,
      operator: this.operator,
      selector: this.selector,
      from: toUnixMs(this.from),
      to: toUnixMs(this.to),
    })}`;
    return this.show(await this.call('GET', path), auditReply, formatAudit);
  }
}

function toUnixMs(time: string | undefined): string | undefined {
  return time === undefined ? undefined : String(Date.parse(time));
}

class StatusCommand extends ApiCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description:
      'Show the hosts and the revision that each has applied, or the state of one relay.',
    examples: [['State of a relay', 'poppypond status --relay 10.0.0.7:9464']],
  });

  readonly relay = Option.String('--relay', {
    description: 'HOST:PORT of the metrics port of a relay, which needs no key',
  });

  override async execute(): Promise<number> {
    if (this.relay !== undefined)
      return this.show(await readRelayStatus(this.relay), relayStatusReply, formatRelayStatus);
    return this.show(await this.call('GET', '/v1/status'), statusReply, formatStatus);
  }
}

class ExplainCommand extends ApiCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain decisions, by request or by label.',
    examples: [
      ['One request', 'poppypond explain regina-1.mabc.0123456789ab'],
      [
        'All requests of a workspace',
        'poppypond explain --selector workspace=farms --from 2026-12-02T10:00Z',
      ],
    ],
  });

  readonly request = Option.String({ required: false });
  readonly selector = Option.String('--selector', { description: 'labels of the requests' });
  readonly from = Option.String('--from', { description: 'ISO time' });
  readonly to = Option.String('--to', { description: 'ISO time' });

  override async execute(): Promise<number> {
    if (this.request === undefined && this.selector === undefined) {
      return this.usage('explain: a request or --selector is required');
    }
    const { selector, request } = this;
    const range = { from: toUnixMs(this.from), to: toUnixMs(this.to) };
    const path =
      request === undefined
        ? `/v1/explain?${buildQuery({ selector, ...range })}`
        : `/v1/explain/${encodeURIComponent(request)}`;
    return this.show(await this.call('GET', path), explainReply, formatExplain);
  }
}

/** All commands of `poppypond`. */
export const operatorCommands = [
  LossesCommand,
  WhyCommand,
  GetCommand,
  ApplyCommand,
  DiffCommand,
  DeleteCommand,
  AuditCommand,
  StatusCommand,
  ExplainCommand,
];
