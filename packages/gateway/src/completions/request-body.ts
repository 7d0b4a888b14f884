import type { Fault } from '@poppypond/core';
import { chatPrompt, estimateTokens } from '@poppypond/hashing';
import { parseBody } from '@poppypond/web';
import type { Result } from 'true-myth';
import { z } from 'zod';

/** Limit of output tokens for a request without `max_tokens`. */
const DEFAULT_MAX_TOKENS = 256;

const common = {
  model: z.string().min(1),
  max_tokens: z.int().positive().default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
};
const textSchema = z.object({ ...common, prompt: z.string() });
const messageSchema = z.object({ role: z.string(), content: z.string() });
const chatSchema = z.object({ ...common, messages: z.array(messageSchema).min(1) });

/** Endpoint that a request was sent to; determines the format of the response. */
export type CompletionStyle = 'text' | 'chat';

/** Fields of a request's body that admission and placement use. */
export interface CompletionBody {
  readonly model: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly prompt: string;
  /** Estimated from the prompt's length, as the gateway does not tokenize. */
  readonly estimatedTokens: number;
}

function toBody(
  checked: { readonly model: string; readonly max_tokens: number; readonly stream: boolean },
  prompt: string,
): CompletionBody {
  return {
    model: checked.model,
    maxTokens: checked.max_tokens,
    isStream: checked.stream,
    prompt,
    estimatedTokens: estimateTokens(prompt),
  };
}

/** Parses and validates the body of `/v1/completions` or `/v1/chat/completions`. */
export function parseCompletionBody(
  style: CompletionStyle,
  text: string,
): Result<CompletionBody, Fault> {
  if (style === 'text') {
    return parseBody(text, textSchema).map((checked) => toBody(checked, checked.prompt));
  }
  return parseBody(text, chatSchema).map((checked) =>
    toBody(checked, chatPrompt(checked.messages)),
  );
}
