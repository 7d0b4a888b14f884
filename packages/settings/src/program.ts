import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import type { z } from 'zod';
import { describeSettings, findUnknownVariable, loadSettings } from './settings.js';
import type { SettingsShape } from './settings.js';

/** Exit code for an invalid command line or setting. */
export const EXIT_BAD_SETTINGS = 2;

/** One command of a program. */
export interface ProgramCommand {
  /** Command words after the program's name; empty for a program with a single command. */
  readonly path: readonly string[];
  readonly description: string;
  readonly shape: SettingsShape;
  /** Runs the command. Resolves to the exit code, or to a message if a setting is invalid. */
  run(flags: Readonly<Record<string, unknown>>): Promise<number | string>;
}

/** Creates a command whose settings are validated before `main` is called. */
export function defineCommand<Shape extends SettingsShape>(options: {
  readonly path?: readonly string[];
  readonly description: string;
  readonly shape: Shape;
  /**
   * Resolves to the exit code, or to a message why the program cannot start with these settings.
   */
  readonly main: (settings: z.infer<z.ZodObject<Shape>>) => Promise<number | string>;
}): ProgramCommand {
  return {
    path: options.path ?? [],
    description: options.description,
    shape: options.shape,
    run: async (flags) => {
      const settings = loadSettings(options.shape, flags, process.env);
      return settings.isErr ? settings.error : options.main(settings.value);
    },
  };
}

function isBooleanSchema(schema: z.ZodType): boolean {
  return schema.safeParse(true).success && schema.safeParse('yes').success;
}

function createOption(schema: z.ZodType, flag: string, description: string): unknown {
  return isBooleanSchema(schema)
    ? Option.Boolean(flag, { description })
    : Option.String(flag, { description });
}

function createClipanionCommand(binary: string, command: ProgramCommand) {
  const settings = describeSettings(command.shape);
  return class extends Command {
    static override paths = [command.path.length > 0 ? [...command.path] : Command.Default];
    static override usage = Command.Usage({
      description: command.description,
      details: 'Each setting can also be given as the environment variable in brackets.',
    });

    constructor() {
      super();
      for (const { key, flag, env, help } of settings) {
        const schema = command.shape[key];
        if (schema) Object.assign(this, { [key]: createOption(schema, flag, `${help} [${env}]`) });
      }
    }

    override async execute(): Promise<number> {
      const flags = settings.map(({ key }) => [key, Reflect.get(this, key)]);
      const result = await command.run(Object.fromEntries(flags));
      if (typeof result === 'number') return result;
      process.stderr.write(`${binary}: ${result}\n`);
      return EXIT_BAD_SETTINGS;
    }
  };
}

function firstLineOf(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  const line = text
    .split('\n')
    .map((part) => part.trim())
    .find((part) => part.length > 0);
  return line ?? 'failed';
}

/**
 * Returns a one-line error for the first flag that no command knows, or undefined if there is none.
 */
function findUnknownFlag(
  args: readonly string[],
  commands: readonly ProgramCommand[],
): string | undefined {
  const known = new Set(
    commands.flatMap((command) => describeSettings(command.shape).map(({ flag }) => flag)),
  );
  known.add('--help');
  const flags = args.filter((arg) => arg.startsWith('--')).map((arg) => arg.split('=')[0] ?? arg);
  const unknown = flags.find((flag) => !known.has(flag) && !known.has(flag.replace('--no-', '--')));
  return unknown === undefined ? undefined : `${unknown}: unknown setting`;
}

function isUsageError(error: unknown): boolean {
  return error instanceof Error && (error instanceof UsageError || 'clipanion' in error);
}

/**
 * Runs a program: selects the command, validates its settings and sets the exit code.
 * For an invalid command line or setting, prints one line to standard error and sets exit code 2.
 */
export async function runProgram(
  binary: string,
  commands: readonly ProgramCommand[],
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const cli = new Cli({ binaryName: binary, binaryLabel: binary, enableCapture: false });
  cli.register(Builtins.HelpCommand);
  for (const command of commands) cli.register(createClipanionCommand(binary, command));
  const known = new Set(
    commands.flatMap((command) => describeSettings(command.shape).map(({ env }) => env)),
  );
  const unknown = findUnknownFlag(args, commands) ?? findUnknownVariable(known, process.env);
  try {
    if (unknown) throw new UsageError(unknown);
    const command = cli.process([...args], Cli.defaultContext);
    process.exitCode = await cli.run(command, Cli.defaultContext);
  } catch (error) {
    const prefix = isUsageError(error) ? '' : 'failed: ';
    process.stderr.write(`${binary}: ${prefix}${firstLineOf(error)}\n`);
    process.exitCode = isUsageError(error) ? EXIT_BAD_SETTINGS : 1;
  }
}
