import { Fleet, waitUntil } from '@poppypond/launch';
import { callStream, expectedAnswer, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const FAST_ENGINE = { 'step-base-ms': 1, 'prefill-ms': 0.001 };

describe('end to end, with separate processes', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await Fleet.start({
      gateways: 2,
      engines: 4,
      services: 1,
      engineFlags: FAST_ENGINE,
      gatewayFlags: { 'decode-step-ms': 2, 'prefill-tokens-per-ms': 500 },
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  function gatewayUrl(index: number): string {
    return fleet.gateways[index]?.url ?? '';
  }

  async function ask(tokens: number, head: string) {
    const prompt = makePrompt(head, tokens);
    const call = { url: gatewayUrl(0), key: sampleKey('members'), model: SAMPLE_MODEL };
    const outcome = await callStream({ ...call, prompt, maxTokens: 8 });
    return { outcome, expected: expectedAnswer(prompt, 8) };
  }

  it('streams the answer to a short prompt', async () => {
    const { outcome, expected } = await ask(1000, 'balance');
    expect(outcome.code).toBe('ok');
    expect(outcome.text).toBe(expected);
  });

  it('streams the answer to a prompt of more than twice the memory of one engine', async () => {
    const { outcome, expected } = await ask(950_000, 'contract');
    expect(outcome.code).toBe('ok');
    expect(outcome.text).toBe(expected);
  });

  it('resumes a stream at another host, after the last token that the caller received', async () => {
    const prompt = makePrompt('resumed', 3000);
    const call = { key: sampleKey('members'), model: SAMPLE_MODEL, prompt, maxTokens: 16 };
    const abort = new AbortController();
    const first = callStream({ ...call, url: gatewayUrl(0), signal: abort.signal });
    setTimeout(() => {
      abort.abort();
    }, 15);
    const { requestId, lastIndex, text } = await first;
    const after =
      lastIndex < 0
        ? { id: 'host-1.0.000000000000', index: 4 }
        : { id: requestId, index: lastIndex };
    const headers = { 'last-event-id': `${after.id}:${String(after.index)}` };
    const remainder = await callStream({ ...call, url: gatewayUrl(1), headers });
    expect(remainder.code).toBe('ok');
    const completeAnswer = expectedAnswer(prompt, 16);
    expect(completeAnswer.endsWith(remainder.text)).toBe(true);
    if (lastIndex >= 0) expect(text + remainder.text).toBe(completeAnswer);
    expect(remainder.tokens).toBe(15 - after.index);
  });

  it('explains a decision at another host than the one that made it', async () => {
    const { outcome } = await ask(1200, 'why');
    const headers = { authorization: `Bearer ${sampleKey('members')}` };
    await waitUntil('the decision is known at the other host', async () => {
      const reply = await fetch(`${gatewayUrl(1)}/explain/${outcome.requestId}`, { headers });
      return reply.status === 200 && (await reply.text()).includes('prompts@1');
    });
  });

  it('runs an at-most-once call once, whichever hosts it is sent to', async () => {
    const headers = {
      authorization: `Bearer ${sampleKey('members')}`,
      'idempotency-key': 'confirmation-1',
    };
    const send = async (gateway: number, body: string) => {
      const url = `${gatewayUrl(gateway)}/services/register/trades`;
      return fetch(url, { method: 'POST', headers, body });
    };
    const first = await send(0, '{"units":3}');
    expect(first.status).toBe(200);
    const receipt = await first.text();
    await waitUntil('the outcome is recorded', async () => {
      const again = await send(1, '{"units":3}');
      return again.status === 200 && (await again.text()) === receipt;
    });
    expect((await send(1, '{"units":4}')).status).toBe(422);
  });
});
