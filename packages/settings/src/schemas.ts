import { z } from 'zod';

const MAX_PORT = 65_535;

/** A TCP port; 0 takes a free one. */
export const portSetting = z.coerce.number<string>().int().min(0).max(MAX_PORT);

/** A duration in milliseconds. */
export const millisecondsSetting = z.coerce.number<string>().positive();

/** Longer than any process lives; timers count no further than 24 days. */
const MAX_DURATION_MS = 24 * 60 * 60 * 1000;

/**
 * A duration in milliseconds that an installation sets: fractions and zero are taken, and what is
 * longer than a day counts as a day.
 */
export const cappedDurationSetting = z.coerce
  .number<string>()
  .nonnegative()
  .transform((ms) => Math.min(ms, MAX_DURATION_MS));

/** A number, zero or more. */
export const numberSetting = z.coerce.number<string>().nonnegative();

/** A whole number, zero or more. */
export const countSetting = z.coerce.number<string>().int().nonnegative();

/** `true` or `false`, also `1`, `0`, `yes`, `no`. */
export const booleanSetting = z.union([z.boolean(), z.stringbool()]);

/** A name of a host, availability zone or region. */
export const nameSetting = z.string().regex(/^[a-z0-9-]{1,63}$/, 'use a-z, 0-9 and -');

/** The same where an installation names its hosts by its own customs, with dots or capitals. */
export const externalNameSetting = z
  .string()
  .regex(/^[\w.:-]{1,200}$/, 'use letters, digits and . : _ -');

/** An HTTP address, `http://ADDRESS:PORT`. */
export const urlSetting = z.url({ protocol: /^https?$/, error: 'not an http address' });

/** Items separated by commas. */
export const listSetting = z
  .string()
  .transform((text) => text.split(',').map((item) => item.trim()))
  .transform((items) => items.filter((item) => item.length > 0));
