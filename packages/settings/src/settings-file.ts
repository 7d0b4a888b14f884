import { Result } from 'true-myth';
import { readFileSync } from 'node:fs';
import { z } from 'zod';

/** The key of the setting that names the settings file. */
export const SETTINGS_FILE_KEY = 'settings';

const fileSchema = z.record(z.string(), z.unknown());

/**
 * Reads a settings file: one JSON object whose keys are settings in camel case. Keys that the
 * program doesn't know are ignored, so that one file can serve several programs and versions.
 */
export function readSettingsFile(path: string): Result<Readonly<Record<string, unknown>>, string> {
  try {
    const parsed = fileSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')));
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err('the settings file does not contain a JSON object');
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Result.err(`the settings file can't be read: ${detail.split('\n')[0] ?? ''}`);
  }
}
