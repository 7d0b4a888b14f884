import { StatsD } from 'hot-shots';

interface MetricEntry {
  readonly type: 'counter' | 'gauge' | 'timing';
  readonly meaning: string;
}

/** The metrics that are sent to StatsD, with the prefix `poppypond.`. Times are in milliseconds. */
export const METRICS = {
  'requests.done': { type: 'counter', meaning: 'Requests answered, tagged with the result code.' },
  'requests.first_token': {
    type: 'timing',
    meaning: 'Arrival to first token, tagged with the lane.',
  },
  'requests.waiting': { type: 'gauge', meaning: 'Requests in the wait queue.' },
  'requests.waiting_tokens': { type: 'gauge', meaning: 'Work in the wait queue, in tokens.' },
  'attempts.retried': {
    type: 'counter',
    meaning: 'Attempts after the first, on another engine or again on the same.',
  },
  'backend.set_aside': {
    type: 'counter',
    meaning: 'Times a backend server was set aside after failures.',
  },
  'requests.quarantined': {
    type: 'counter',
    meaning: 'Ends of servers after which a request was held back.',
  },
  'loop.pause': { type: 'timing', meaning: 'Longest pause of the event loop in each period.' },
  'config.revision': { type: 'gauge', meaning: 'Revision of the configuration in force.' },
  'store.reads': { type: 'gauge', meaning: 'Reads of the platform since the start.' },
  'store.writes': { type: 'gauge', meaning: 'Writes to the platform since the start.' },
  'store.failures': {
    type: 'gauge',
    meaning: 'Calls to the platform without an answer since the start.',
  },
  'peers.connected': { type: 'gauge', meaning: 'Peers with an open connection.' },
  'decisions.saved': {
    type: 'gauge',
    meaning: 'Decision records in the object store since the start.',
  },
  'decisions.lost': { type: 'gauge', meaning: 'Decision records dropped unsaved since the start.' },
  'engine_memory.swept_tokens': {
    type: 'counter',
    meaning: 'Reserved tokens released by the sweep.',
  },
} as const satisfies Record<string, MetricEntry>;

/** The name of a metric. */
export type MetricName = keyof typeof METRICS;

/** Metric tags. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics to StatsD. Never throws and never blocks. */
export interface Metrics {
  count(name: MetricName, value?: number, tags?: MetricTags): void;
  gauge(name: MetricName, value: number): void;
  timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
  close(): void;
}

/**
 * Creates metrics that are sent to the StatsD address `HOST:PORT`, or discarded if there is no
 * address.
 */
export function createMetrics(address: string | undefined, tags: MetricTags): Metrics {
  const [host, port] = address?.split(':') ?? [];
  const client = new StatsD({
    ...(host ? { host } : {}),
    ...(port ? { port: Number(port) } : {}),
    mock: address === undefined,
    prefix: 'poppypond.',
    globalTags: { ...tags },
    errorHandler: () => undefined,
  });
  if (address === undefined) return silentMetrics;
  return {
    count: (name, value = 1, more = {}) => {
      client.increment(name, value, { ...more });
    },
    gauge: (name, value) => {
      client.gauge(name, value);
    },
    timing: (name, milliseconds, more = {}) => {
      client.timing(name, milliseconds, { ...more });
    },
    close: () => {
      client.close();
    },
  };
}

/** Discards all metrics. */
export const silentMetrics: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => undefined,
};
