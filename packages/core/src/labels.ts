/** Labels of an object or of a request: key to value, both plain text. */
export type Labels = Readonly<Record<string, string>>;
