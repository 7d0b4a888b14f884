import { Logger } from 'tslog';

/** The value of a field in a log line. */
export type LogValue = string | number | boolean | undefined;

/** Fields of a log line besides `time`, `level`, `event` and the common fields of the program. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes one line of key=value pairs for each event. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

const TSLOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** The levels of a log, least severe first. */
export type LogLevel = keyof typeof TSLOG_LEVELS;

function isLogLevel(name: string | undefined): name is LogLevel {
  return name !== undefined && name in TSLOG_LEVELS;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats `key=value` pairs. A value with other characters than letters, digits and `_ . : / @ + -`
 * is quoted, and an undefined one is omitted.
 */
export function formatFields(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) parts.push(`${key}=${formatValue(value)}`);
  }
  return parts.join(' ');
}

/**
 * Creates a log that adds `common` to each line. Lines go to standard error unless `write` is
 * given.
 */
export function createLog(
  common: LogFields,
  level: LogLevel = 'info',
  write: (line: string, level: LogLevel) => void = (line) => process.stderr.write(line),
): Log {
  const logger = new Logger<LogFields>({
    type: 'hidden',
    minLevel: TSLOG_LEVELS[level],
    // Logging the position of the call would need a stack trace for each line.
    hideLogPositionForProduction: true,
  });
  logger.attachTransport((entry) => {
    const { _meta, ...fields } = entry;
    const name = _meta?.logLevelName.toLowerCase();
    const header = { time: _meta?.date.toISOString(), level: name };
    write(`${formatFields({ ...header, ...fields })}\n`, isLogLevel(name) ? name : 'info');
  });
  const withCommonFields = (event: string, fields: LogFields = {}) => ({
    event,
    ...common,
    ...fields,
  });
  return {
    debug: (event, fields) => logger.debug(withCommonFields(event, fields)),
    info: (event, fields) => logger.info(withCommonFields(event, fields)),
    warn: (event, fields) => logger.warn(withCommonFields(event, fields)),
    error: (event, fields) => logger.error(withCommonFields(event, fields)),
  };
}

/** A log that writes nothing. */
export const silentLog: Log = createLog({}, 'error', () => undefined);
