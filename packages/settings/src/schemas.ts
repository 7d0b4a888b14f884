import { z } from 'zod';

const MAX_PORT = 65_535;

/** A TCP port; 0 selects a free one. */
export const portSetting = z.coerce.number<string>().int().min(0).max(MAX_PORT);

/** A duration in milliseconds. */
export const millisecondsSetting = z.coerce.number<string>().positive();

/**
 * Cap of durations: longer than any process runs, and below the limit of timers, which is 24 days.
 */
const MAX_DURATION_MS = 24 * 60 * 60 * 1000;

/**
 * A duration in milliseconds that an installation sets. Fractions and zero are accepted; a duration
 * of more than a day is reduced to one day.
 */
export const cappedDurationSetting = z.coerce
  .number<string>()
  .nonnegative()
  .transform((ms) => Math.min(ms, MAX_DURATION_MS));

/** A number that is not negative. */
export const numberSetting = z.coerce.number<string>().nonnegative();

/** An integer that is not negative. */
export const countSetting = z.coerce.number<string>().int().nonnegative();

/** `true` or `false`; also `1`, `0`, `yes`, `no`. */
export const booleanSetting = z.union([z.boolean(), z.stringbool()]);

/** The name of a host, availability zone or region. */
export const nameSetting = z.string().regex(/^[a-z0-9-]{1,63}$/, 'use a-z, 0-9 and -');

/**
 * The name of a host or availability zone that an installation assigns by its own rules, with dots
 * or capitals.
 */
export const externalNameSetting = z
  .string()
  .regex(/^[\w.:-]{1,200}$/, 'use letters, digits and . : _ -');

/** An HTTP or HTTPS URL, `http://ADDRESS:PORT`. */
export const urlSetting = z.url({ protocol: /^https?$/, error: 'not an HTTP URL' });

/** A comma-separated list; empty items are dropped. */
export const listSetting = z
  .string()
  .transform((text) => text.split(',').map((item) => item.trim()))
  .transform((items) => items.filter((item) => item.length > 0));
