import { connect } from 'node:net';
import { Fleet, getJson, waitUntil } from '@poppypond/launch';
import { makePrompt, sampleKey } from '@poppypond/load';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { z } from 'zod';

const errorSchema = z.object({
  error: z.object({
    code: z.string(),
    number: z.number(),
    outcome: z.string(),
    param: z.string().nullable(),
    retry_after_ms: z.number().optional(),
  }),
});
const truthSchema = z.object({ runs: z.array(z.unknown()), heldTokens: z.number() });
const statusSchema = z.object({ inProgress: z.number() });

const REQUEST = { model: 'general', prompt: 'hello', max_tokens: 2 };
const TINY_RULE_SPEC = {
  traffic: [{ key: 'purpose', operator: 'equals', value: 'tiny' }],
  pools: [{ key: 'serves', operator: 'equals', value: 'engines' }],
  precedence: 500,
  maxPromptTokens: 50,
};

describe('invalid requests', () => {
  let fleet: Fleet;
  let url = '';

  beforeAll(async () => {
    fleet = await Fleet.start({
      gateways: 1,
      engines: 1,
      services: 1,
      engineFlags: { 'step-base-ms': 1, 'prefill-ms': 0.001 },
      gatewayFlags: { 'max-body-bytes': 200_000, 'body-timeout-ms': 300 },
      objects: [
        { kind: 'rule', name: 'tiny', labels: {}, spec: TINY_RULE_SPEC },
        {
          kind: 'rule',
          name: 'never',
          labels: {},
          spec: {
            action: 'refuse',
            precedence: 600,
            traffic: [{ key: 'purpose', operator: 'equals', value: 'never' }],
          },
        },
        {
          kind: 'workspace',
          name: 'audit',
          labels: {},
          spec: { budget: { unitsPerSecond: 1, burstUnits: 500 } },
        },
      ],
    });
    url = fleet.gateways[0]?.url ?? '';
  });

  afterAll(async () => {
    await fleet.stop();
  });

  async function post(
    body: string,
    headers: Readonly<Record<string, string>> = {},
    path = '/v1/completions',
  ) {
    const reply = await fetch(`${url}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${sampleKey('members')}`, ...headers },
      body,
    });
    const parsed = errorSchema.safeParse(JSON.parse(await reply.text()));
    const retryAfter = reply.headers.get('retry-after');
    return {
      status: reply.status,
      error: parsed.success ? parsed.data.error : undefined,
      retryAfter,
    };
  }

  const json = JSON.stringify(REQUEST);
  const long = (tokens: number) => JSON.stringify({ ...REQUEST, prompt: makePrompt('p', tokens) });
  const purposeHeader = (value: string) => ({ 'x-poppypond-labels': `purpose=${value}` });

  it.each([
    ['malformed JSON', '{"model":', {}, 400, 'bad_json'],
    ['a field of the wrong type', '{"model":"general","prompt":7}', {}, 400, 'bad_field'],
    ['an invalid header value', json, { 'x-poppypond-time-limit-ms': 'soon' }, 400, 'bad_field'],
    ['an oversized body', long(60_000), {}, 413, 'body_too_large'],
    ['an unknown API key', json, { authorization: 'Bearer wrong' }, 401, 'unauthenticated'],
    ['an unknown model', '{"model":"other","prompt":"a"}', {}, 404, 'unknown_model'],
    [
      'a prompt over the limit of its rule',
      long(100),
      purposeHeader('tiny'),
      413,
      'prompt_too_long',
    ],
    ['traffic that a rule refuses', json, purposeHeader('never'), 403, 'refused_by_rule'],
    [
      'a time limit that cannot be met',
      JSON.stringify({ ...REQUEST, max_tokens: 4000 }),
      { 'x-poppypond-time-limit-ms': '20' },
      503,
      'cannot_finish',
    ],
  ])(
    'rejects %s with a documented code and does not run the request',
    async (_name, body, headers, status, code) => {
      const reply = await post(body, headers);
      expect([reply.status, reply.error?.code, reply.error?.outcome]).toEqual([
        status,
        code,
        'not_run',
      ]);
    },
  );

  it('names the exhausted budget and when to retry, and rejects a request over the whole budget', async () => {
    const headers = { authorization: `Bearer ${sampleKey('audit')}` };
    const body = JSON.stringify({ ...REQUEST, max_tokens: 90 });
    expect((await post(body, headers)).status).toBe(200);
    const refused = await post(body, headers);
    expect(refused.status).toBe(429);
    expect(refused.error).toMatchObject({ code: 'limit_exceeded', param: 'workspace/audit' });
    expect(Number(refused.retryAfter)).toBeGreaterThan(0);
    const giant = await post(long(2000), headers);
    expect(giant.error?.code).toBe('over_budget_size');
  });

  it('rejects oversized headers, unknown paths and a wrong method', async () => {
    expect((await fetch(url, { headers: { 'x-large': 'a'.repeat(20_000) } })).status).toBe(431);
    expect((await post('{}', {}, '/nowhere')).error?.code).toBe('not_found');
    const wrong = await fetch(`${url}/v1/completions`);
    expect(wrong.status).toBe(405);
  });

  it('rejects calls to an unknown service and calls without an idempotency key', async () => {
    expect((await post('{}', {}, '/services/nothing/x')).error?.code).toBe('unknown_service');
    expect((await post('{}', {}, '/services/register/x')).error?.code).toBe('key_missing');
  });

  it('times out a caller that sends its body slowly, and releases the request of one that disconnects', async () => {
    const { hostname, port } = new URL(url);
    const head =
      'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n' +
      `authorization: Bearer ${sampleKey('members')}\r\n\r\n{`;
    const slow = connect(Number(port), hostname);
    const answer = new Promise<string>((resolve) => {
      slow.once('data', (data) => {
        resolve(data.toString('utf8'));
      });
    });
    slow.write(head);
    expect(await answer).toMatch(/^HTTP\/1.1 408 /);
    slow.destroy();
    const gone = connect(Number(port), hostname);
    gone.write(head, () => gone.destroy());
    await waitUntil('no request is in progress', async () => {
      const status = statusSchema.parse(await getJson(`${url}/status`));
      return status.inProgress === 0;
    });
  });

  it('the engine ran only the accepted request and holds no memory, and the gateway still answers', async () => {
    const truth = truthSchema.parse(await getJson(`${fleet.engines[0]?.url ?? ''}/truth`));
    expect(truth.runs).toHaveLength(1);
    expect(truth.heldTokens).toBe(0);
    expect((await post(json)).status).toBe(200);
  });
});
