import { Result } from 'true-myth';
import { z } from 'zod';
import { readSettingsFile, SETTINGS_FILE_KEY } from './settings-file.js';

/** The prefix of every environment variable that the programs read. */
export const ENV_PREFIX = 'POPPYPOND_';

/** A settings schema: one key for each setting, in camel case, with `.describe()` as its help. */
export type SettingsShape = Readonly<Record<string, z.ZodType>>;

/** The names and the help text of one setting. */
export interface SettingHelp {
  readonly key: string;
  /** Command line flag, e.g. `--listen-port`. */
  readonly flag: string;
  /** Environment variable, e.g. `POPPYPOND_LISTEN_PORT`. */
  readonly env: string;
  readonly help: string;
}

function splitWords(key: string): readonly string[] {
  return key.split(/(?=[A-Z])/).map((word) => word.toLowerCase());
}

/** Returns the names and help texts of the settings in a schema. */
export function describeSettings(shape: SettingsShape): readonly SettingHelp[] {
  return Object.entries(shape).map(([key, schema]) => {
    const words = splitWords(key);
    return {
      key,
      flag: `--${words.join('-')}`,
      env: `${ENV_PREFIX}${words.join('_').toUpperCase()}`,
      help: schema.description ?? '',
    };
  });
}

function formatFirstIssue(error: z.ZodError, settings: readonly SettingHelp[]): string {
  const issue = error.issues[0];
  const key = String(issue?.path[0]);
  const setting = settings.find((candidate) => candidate.key === key);
  const name = setting ? `${setting.flag} (${setting.env})` : key;
  return `${name}: ${issue?.message ?? 'invalid'}`;
}

function readConfiguredFile(
  settings: readonly SettingHelp[],
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Readonly<Record<string, unknown>>, string> {
  const setting = settings.find(({ key }) => key === SETTINGS_FILE_KEY);
  const path = setting && (flags[setting.key] ?? environment[setting.env]);
  return typeof path === 'string' ? readSettingsFile(path) : Result.ok({});
}

/**
 * Validates settings. A flag takes precedence over the environment variable, which takes precedence
 * over the settings file (if the program supports one), which takes precedence over the default.
 * The error is one line that names the setting.
 */
export function loadSettings<Shape extends SettingsShape>(
  shape: Shape,
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<z.infer<z.ZodObject<Shape>>, string> {
  const settings = describeSettings(shape);
  const file = readConfiguredFile(settings, flags, environment);
  if (file.isErr) return Result.err(file.error);
  const valueOf = ({ key, env }: SettingHelp) => flags[key] ?? environment[env] ?? file.value[key];
  const entries = settings.map((setting) => [setting.key, valueOf(setting)] as const);
  const present = entries.filter(([, value]) => value !== undefined);
  const parsed = z.object(shape).safeParse(Object.fromEntries(present));
  if (!parsed.success) return Result.err(formatFirstIssue(parsed.error, settings));
  return Result.ok(parsed.data);
}

/**
 * Returns a one-line error for the first unknown `POPPYPOND_` variable, or undefined if there is
 * none.
 */
export function findUnknownVariable(
  known: ReadonlySet<string>,
  environment: Readonly<Record<string, string | undefined>>,
): string | undefined {
  const unknown = Object.keys(environment).find(
    (name) => name.startsWith(ENV_PREFIX) && !known.has(name),
  );
  return unknown ? `${unknown}: unknown setting` : undefined;
}
