import { callStream, expectedAnswer, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import type { RunningDemo } from './demo.js';

const SHORT_PROMPT_TOKENS = 1000;
const LONG_PROMPT_TOKENS = 950_000;
const OUTPUT_TOKENS = 16;

async function checkPrompt(url: string, prefix: string, tokens: number): Promise<boolean> {
  const prompt = makePrompt(prefix, tokens);
  const key = sampleKey('members');
  const call = { url, key, model: SAMPLE_MODEL, prompt, maxTokens: OUTPUT_TOKENS };
  const outcome = await callStream(call);
  const isCorrect = outcome.code === 'ok' && outcome.text === expectedAnswer(prompt, OUTPUT_TOKENS);
  const firstToken = outcome.firstTokenMs?.toFixed(0) ?? '-';
  const verdict = isCorrect ? 'right' : 'wrong';
  process.stdout.write(
    `${String(tokens)} tokens: ${outcome.code}, answer ${verdict}, first token ${firstToken} ms\n`,
  );
  return isCorrect;
}

/** Sends one short and one long prompt. Returns whether both answers are correct. */
export async function checkDemo(demo: RunningDemo): Promise<boolean> {
  const isShortCorrect = await checkPrompt(
    demo.gatewayUrl,
    'a balance question',
    SHORT_PROMPT_TOKENS,
  );
  const isLongCorrect = await checkPrompt(demo.gatewayUrl, 'a contract review', LONG_PROMPT_TOKENS);
  return isShortCorrect && isLongCorrect;
}
