/**
 * Whether a call was executed. `ok`: the complete answer was delivered.
 * `not_run`: no backend server ran any part of it. `ran`: it ran, but its answer is not complete.
 * `unknown`: a backend server may have run it.
 */
export type Outcome = 'ok' | 'not_run' | 'ran' | 'unknown';

interface ResultCodeEntry {
  readonly number: number;
  readonly httpStatus: number;
  readonly outcome: Outcome;
  readonly meaning: string;
}

/**
 * All results that are returned to callers and operators.
 * Ranges of numbers: 1000 invalid call, 2000 refused for now, 3000 ran but failed,
 * 4000 outcome unknown, 5000 operators' API. Each code has a fixed outcome.
 */
export const RESULT_CODES = {
  ok: { number: 0, httpStatus: 200, outcome: 'ok', meaning: 'The whole answer was delivered.' },

  bad_json: {
    number: 1001,
    httpStatus: 400,
    outcome: 'not_run',
    meaning: 'The body is not valid JSON.',
  },
  bad_field: {
    number: 1002,
    httpStatus: 400,
    outcome: 'not_run',
    meaning: 'A field or header has the wrong type or value; `path` names it.',
  },
  body_too_large: {
    number: 1003,
    httpStatus: 413,
    outcome: 'not_run',
    meaning: 'The body is larger than the gateway reads.',
  },
  headers_too_large: {
    number: 1004,
    httpStatus: 431,
    outcome: 'not_run',
    meaning: 'The request headers are larger than the gateway reads.',
  },
  unauthenticated: {
    number: 1005,
    httpStatus: 401,
    outcome: 'not_run',
    meaning: 'The key is missing or not known.',
  },
  unknown_model: {
    number: 1006,
    httpStatus: 404,
    outcome: 'not_run',
    meaning: 'No model of that name is configured.',
  },
  unknown_service: {
    number: 1007,
    httpStatus: 404,
    outcome: 'not_run',
    meaning: 'No plain service of that name is configured.',
  },
  prompt_too_long: {
    number: 1008,
    httpStatus: 413,
    outcome: 'not_run',
    meaning: 'The prompt is over the limit of the rule that matched.',
  },
  no_rule: {
    number: 1009,
    httpStatus: 403,
    outcome: 'not_run',
    meaning: 'No rule lets this traffic run anywhere.',
  },
  refused_by_rule: {
    number: 1010,
    httpStatus: 403,
    outcome: 'not_run',
    meaning: 'The rule that matched refuses this traffic.',
  },
  key_reused: {
    number: 1011,
    httpStatus: 422,
    outcome: 'not_run',
    meaning: 'The idempotency key was used before with a different request.',
  },
  key_missing: {
    number: 1012,
    httpStatus: 400,
    outcome: 'not_run',
    meaning: 'This call may not be repeated and needs an idempotency key.',
  },
  not_found: {
    number: 1013,
    httpStatus: 404,
    outcome: 'not_run',
    meaning: 'No such path or object.',
  },
  method_not_allowed: {
    number: 1014,
    httpStatus: 405,
    outcome: 'not_run',
    meaning: 'The path does not take this method.',
  },
  caller_slow: {
    number: 1015,
    httpStatus: 408,
    outcome: 'not_run',
    meaning: 'The request body did not arrive in time.',
  },
  unknown_route: {
    number: 1016,
    httpStatus: 404,
    outcome: 'not_run',
    meaning: 'No route has this host name and path.',
  },

  limit_exceeded: {
    number: 2001,
    httpStatus: 429,
    outcome: 'not_run',
    meaning: 'A token budget is spent; the body names the budget and when to come back.',
  },
  over_budget_size: {
    number: 2002,
    httpStatus: 413,
    outcome: 'not_run',
    meaning: 'The request costs more than its budget can ever hold.',
  },
  queue_full: {
    number: 2003,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'The wait queue holds as many tokens as it may.',
  },
  cannot_finish: {
    number: 2004,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'The request would not finish within its time limit.',
  },
  wait_expired: {
    number: 2005,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'The request waited as long as it may and was not started.',
  },
  no_backend: {
    number: 2006,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'No backend server that the rule allows can take work now.',
  },
  stopping: {
    number: 2007,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'This host is stopping.',
  },
  store_unavailable: {
    number: 2008,
    httpStatus: 503,
    outcome: 'not_run',
    meaning:
      'The platform table is not available; a call that may not be repeated was not started.',
  },
  not_ready: {
    number: 2009,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'This host has no configuration that is recent enough.',
  },
  retries_spent: {
    number: 2010,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'The attempts were refused and the retry allowance is spent.',
  },
  displaced: {
    number: 2011,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'Traffic of higher priority took the place in the queue.',
  },
  cancelled_waiting: {
    number: 2012,
    httpStatus: 499,
    outcome: 'not_run',
    meaning: 'The caller went away before the request was started.',
  },
  quarantined: {
    number: 2013,
    httpStatus: 503,
    outcome: 'not_run',
    meaning:
      'Servers ended under earlier tries of this request, which may have run; this try was not run.',
  },
  host_full: {
    number: 2014,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'This host holds as many bytes as its memory allows.',
  },
  internal_error: {
    number: 2015,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'An unexpected error kept this host from starting the request.',
  },
  configuration_unreadable: {
    number: 2016,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'This host cannot decode the newest configuration.',
  },

  time_limit: {
    number: 3001,
    httpStatus: 504,
    outcome: 'ran',
    meaning: 'The request was started and its time limit passed.',
  },
  incomplete: {
    number: 3002,
    httpStatus: 502,
    outcome: 'ran',
    meaning: 'The backend server failed during the answer and it could not be resumed.',
  },
  backend_error: {
    number: 3003,
    httpStatus: 502,
    outcome: 'ran',
    meaning: 'The backend server answered with an error.',
  },
  cancelled_running: {
    number: 3004,
    httpStatus: 499,
    outcome: 'ran',
    meaning: 'The caller went away while the request ran.',
  },
  caller_too_slow: {
    number: 3005,
    httpStatus: 499,
    outcome: 'ran',
    meaning: 'The caller did not read the answer for too long.',
  },

  outcome_unknown: {
    number: 4001,
    httpStatus: 502,
    outcome: 'unknown',
    meaning: 'The backend server was given the call and its answer was lost.',
  },
  key_in_progress: {
    number: 4002,
    httpStatus: 409,
    outcome: 'unknown',
    meaning: 'A call with this idempotency key was started and has no recorded outcome.',
  },

  invalid_object: {
    number: 5001,
    httpStatus: 400,
    outcome: 'not_run',
    meaning: 'An object is invalid; each wrong field is named.',
  },
  conflict: {
    number: 5002,
    httpStatus: 409,
    outcome: 'not_run',
    meaning: 'The object was changed by somebody else; both changes are named.',
  },
  forbidden: {
    number: 5003,
    httpStatus: 403,
    outcome: 'not_run',
    meaning: 'The operator has no role that allows this.',
  },
  store_unconfirmed: {
    number: 5004,
    httpStatus: 503,
    outcome: 'unknown',
    meaning:
      'The change was sent and its result could not be read back; apply it again with the same change id.',
  },
  store_down: {
    number: 5005,
    httpStatus: 503,
    outcome: 'not_run',
    meaning: 'The platform table is not available; nothing was changed.',
  },
  wait_timeout: {
    number: 5006,
    httpStatus: 504,
    outcome: 'ran',
    meaning: 'The change is accepted; not every host had it in time.',
  },
} as const satisfies Record<string, ResultCodeEntry>;

/** The name of a result code, e.g. `queue_full`. */
export type ResultName = keyof typeof RESULT_CODES;

/** Why a call did not return a complete answer. */
export interface Fault {
  readonly code: ResultName;
  /** For people; programs read `code`. */
  readonly detail: string;
  /** Time from now after which the caller may retry. */
  readonly retryAfterMs?: number;
  /** The rule that was applied, as `name@revision`. */
  readonly rule?: string;
  /** The field, header or budget that caused the fault. */
  readonly path?: string;
}

/** Creates a fault; `more` sets the optional fields. */
export function fault(
  code: ResultName,
  detail: string,
  more: Pick<Fault, 'retryAfterMs' | 'rule' | 'path'> = {},
): Fault {
  return { code, detail, ...more };
}

/** Returns whether a call with this result was executed. */
export function outcomeOf(code: ResultName): Outcome {
  return RESULT_CODES[code].outcome;
}

/** Whether `name` is the name of a result code. */
export function isResultName(name: string): name is ResultName {
  return Object.hasOwn(RESULT_CODES, name);
}
