import { Command, Option } from 'clipanion';
import type { Result } from 'true-myth';
import type { z } from 'zod';
import { callApi } from './api.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Base class of commands that call the operators' API. */
export abstract class ApiCommand extends Command {
  readonly apiUrl = Option.String('--admin', 'http://127.0.0.1:8090', {
    env: 'POPPYPOND_ADMIN',
    description: "address of the operators' API [POPPYPOND_ADMIN]",
  });

  readonly apiKey = Option.String('--key', '', {
    env: 'POPPYPOND_KEY',
    description: "the operator's key [POPPYPOND_KEY]",
  });

  readonly json = Option.Boolean('--json', false, { description: 'print JSON instead of text' });

  protected call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<unknown, string>> {
    return callApi({ url: this.apiUrl, key: this.apiKey }, method, path, body);
  }

  protected usage(problem: string): number {
    this.context.stderr.write(`poppypond: ${problem}\n`);
    return EXIT_USAGE;
  }

  protected fail(problem: string): number {
    this.context.stderr.write(`poppypond: ${problem}\n`);
    return EXIT_FAILED;
  }

  /** Prints a reply as JSON with `--json`, else as formatted text. Returns the exit code. */
  protected show<Schema extends z.ZodType>(
    reply: Result<unknown, string>,
    schema: Schema,
    format: (value: z.infer<Schema>) => string,
  ): number {
    if (reply.isErr) return this.fail(reply.error);
    const text = this.json
      ? JSON.stringify(reply.value, undefined, 2)
      : format(schema.parse(reply.value));
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
