import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet, waitUntil } from '@poppypond/launch';
import { keySha256, SAMPLE_OPERATOR_KEY, sampleKey } from '@poppypond/load';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const CLI = fileURLToPath(new URL('../../cli/dist/main.js', import.meta.url));

describe('the worked example of docs/OPERATIONS.md', () => {
  let fleet: Fleet;
  const folder = mkdtempSync(join(tmpdir(), 'poppypond-'));

  beforeAll(async () => {
    fleet = await Fleet.start({
      gateways: 2,
      engines: 2,
      services: 1,
      engineFlags: { 'step-base-ms': 1, 'prefill-ms': 0.001 },
      gatewayFlags: { 'config-poll-ms': 200, 'decision-flush-ms': 200 },
      passesGatewaysToAdmin: true,
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  function runCli(args: readonly string[], key = SAMPLE_OPERATOR_KEY) {
    const env = { ...process.env, POPPYPOND_ADMIN: fleet.admin.url, POPPYPOND_KEY: key };
    const child = spawn(process.execPath, [CLI, ...args], { env });
    return new Promise<{ readonly code: number | null; readonly out: string }>((resolve) => {
      let out = '';
      child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString('utf8')));
      child.stderr.on('data', (chunk: Buffer) => (out += chunk.toString('utf8')));
      child.once('close', (code) => {
        resolve({ code, out });
      });
    });
  }

  function writeObjects(name: string, objects: readonly unknown[]): string {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(objects));
    return path;
  }

  function ask(max_tokens: number) {
    return fetch(`${fleet.gateways[0]?.url ?? ''}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${sampleKey('audit')}` },
      body: JSON.stringify({ model: 'general', prompt: 'hello', max_tokens }),
    });
  }

  const limited = (burstUnits: number) => [
    {
      kind: 'workspace',
      name: 'audit',
      labels: { team: 'auditors' },
      spec: { budget: { unitsPerSecond: 1, burstUnits } },
    },
  ];

  it('sets a limit, explains a refusal, raises the limit and reads the audit trail', async () => {
    const set = ['apply', writeObjects('limit.json', limited(200)), '--why', 'pilot', '--wait'];
    expect(await runCli(set)).toMatchObject({
      code: 0,
      out: expect.stringMatching(/revision \d+/),
    });
    const refused = await ask(100);
    expect(refused.status).toBe(413);
    const request = refused.headers.get('x-poppypond-request') ?? '';
    await waitUntil('the refusal can be explained', async () => {
      const { out } = await runCli(['explain', request]);
      return /refuse: over_budget_size by rule prompts@1/.test(out);
    });
    const byLabel = await runCli(['explain', '--selector', 'workspace=audit']);
    expect(byLabel.out).toContain(request);
    const more = [
      'apply',
      writeObjects('more.json', limited(5000)),
      '--why',
      'audit season',
      '--wait',
    ];
    expect((await runCli(more)).code).toBe(0);
    const answered = await sendAndGetStatus();
    expect(answered).toBe(200);
    const trail = await runCli(['audit', '--object', 'workspace/audit']);
    expect(trail.out).toMatch(/operator +changed +workspace\/audit +pilot/);
    expect(trail.out).toMatch(/operator +changed +workspace\/audit +audit season/);
  });

  /**
   * Sends a request and returns its status. The units of the budget come with a share of it, which
   * the host may have to request first.
   */
  async function sendAndGetStatus(): Promise<number> {
    const reply = await ask(10);
    return reply.status;
  }

  it('shows a difference without a change, and rejects all objects when one is invalid', async () => {
    const diff = await runCli(['diff', writeObjects('diff.json', limited(9000))]);
    expect(diff.out).toMatch(/spec.budget.burstUnits: 5000 -> 9000/);
    const bad = [...limited(1), { kind: 'rule', name: 'Bad Name', spec: { traffic: 3 } }];
    const refused = await runCli(['apply', writeObjects('bad.json', bad), '--why', 'wrong']);
    expect(refused.code).toBe(1);
    expect(refused.out).toMatch(/objects.1.name: .*objects.1.spec.traffic: /);
    expect((await runCli(['diff', writeObjects('same.json', limited(5000))])).out).toMatch(
      /unchanged/,
    );
  });

  it('warns about selectors that match nothing, and names both changes of a conflict', async () => {
    const rule = {
      kind: 'rule',
      name: 'lost',
      labels: {},
      spec: {
        traffic: [
          { key: 'a', operator: 'equals', value: '1' },
          { key: 'a', operator: 'equals', value: '2' },
        ],
        pools: [{ key: 'no', operator: 'equals', value: 'where' }],
      },
    };
    const warned = await runCli(['apply', writeObjects('lost.json', [rule]), '--dry-run']);
    expect(warned.out).toMatch(/rule\/lost: traffic can never match/);
    expect(warned.out).toMatch(/rule\/lost: pools matches no object now/);
    const stale = [
      'apply',
      writeObjects('race.json', limited(1)),
      '--why',
      'late',
      '--expect',
      'workspace/audit=1',
    ];
    const raced = await runCli(stale);
    expect(raced.out).toMatch(/conflict .*you changed revision 1, it is now at 3: .*audit season/);
  });

  it('lets an operator change only the objects in its scope, and a viewer none', async () => {
    const operator = (name: string, role: string) => ({
      kind: 'operator',
      name,
      labels: {},
      spec: {
        sha256: keySha256(`${name}-key`),
        role,
        scope: [{ key: 'team', operator: 'equals', value: 'counters' }],
      },
    });
    const operators = [operator('cara', 'operator'), operator('vera', 'viewer')];
    expect(
      (await runCli(['apply', writeObjects('people.json', operators), '--why', 'staff'])).code,
    ).toBe(0);
    const change = ['apply', writeObjects('change.json', limited(7000)), '--why', 'mine'];
    expect((await runCli(change, 'cara-key')).out).toMatch(/forbidden .*outside the scope/);
    expect((await runCli(change, 'vera-key')).out).toMatch(/forbidden .*changes nothing/);
    expect((await runCli(['get', 'workspace'], 'vera-key')).out).toMatch(/workspace +audit/);
    expect((await runCli(['status'], 'vera-key')).out).toMatch(/newest revision/);
  });
});
