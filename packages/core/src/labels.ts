/** Labels of an object or a request, by key; keys and values are plain text. */
export type Labels = Readonly<Record<string, string>>;
