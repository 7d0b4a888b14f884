/** A value that JSON can hold. */
export type Json =
  string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json | undefined };

/** Parses JSON to `unknown`; undefined when the text is not JSON. */
export function parseJson(text: string): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return value;
  } catch {
    return undefined;
  }
}
