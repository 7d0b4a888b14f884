/** A value that can be represented in JSON. */
export type Json =
  string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json | undefined };

/** Parses JSON. Returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return value;
  } catch {
    return undefined;
  }
}
