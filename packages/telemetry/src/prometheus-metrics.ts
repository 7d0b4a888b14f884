import { Counter, Gauge, Histogram, Registry } from 'prom-client';

interface PrometheusMetricEntry {
  readonly type: 'counter' | 'gauge' | 'histogram';
  readonly help: string;
  readonly labels: readonly string[];
}

/**
 * The metrics of a relay, served on its metrics port. Names and labels are stable; see
 * docs/METRICS.md.
 */
export const PROMETHEUS_METRICS = {
  poppypond_requests_total: {
    type: 'counter',
    help: 'Requests answered, by route kind and result code.',
    labels: ['kind', 'code'],
  },
  poppypond_unexpected_errors_total: {
    type: 'counter',
    help: 'Exceptions that no code expects, by the operation that they ended.',
    labels: ['operation'],
  },
  poppypond_connections_dropped_total: {
    type: 'counter',
    help: 'New connections that were closed unread because the host gets more than it can serve.',
    labels: [],
  },
  poppypond_caller_connections: {
    type: 'gauge',
    help: 'Open connections of callers.',
    labels: [],
  },
  poppypond_caller_connections_cost_bytes: {
    type: 'gauge',
    help: 'Estimated memory of unfinished heads and requests on all connections of callers.',
    labels: [],
  },
  poppypond_caller_connections_closed_total: {
    type: 'counter',
    help: 'Connections of callers that were closed because they did not get on or took too much.',
    labels: ['why'],
  },
  poppypond_attempts_total: {
    type: 'counter',
    help: 'Attempts at backend servers, by how they ended.',
    labels: ['kind', 'end'],
  },
  poppypond_placements_total: {
    type: 'counter',
    help: 'Placements of streams, by the rule that decided.',
    labels: ['rule'],
  },
  poppypond_first_event_milliseconds: {
    type: 'histogram',
    help: 'Arrival of a stream request to its first event.',
    labels: ['size'],
  },
  poppypond_call_milliseconds: {
    type: 'histogram',
    help: 'Arrival of a plain request to its answer.',
    labels: ['kind'],
  },
  poppypond_event_gap_milliseconds: {
    type: 'histogram',
    help: 'Pauses between the events of a stream.',
    labels: ['size'],
  },
  poppypond_retries_refused_total: {
    type: 'counter',
    help: 'Failed attempts that were not followed by another, by reason.',
    labels: ['why'],
  },
  poppypond_servers_asked_total: {
    type: 'counter',
    help: 'Servers asked whether they are there after an answer broke off, by what was found.',
    labels: ['state'],
  },
  poppypond_server_words_total: {
    type: 'counter',
    help: 'Words of servers that they leave, want rest, name a limit or are cold, each once.',
    labels: ['word'],
  },
  poppypond_server_limit_per_second: {
    type: 'gauge',
    help: 'Requests a second that a server takes from all hosts together, for servers that name it now.',
    labels: ['server'],
  },
  poppypond_server_limit_given: {
    type: 'gauge',
    help: 'Requests to a server with a limit for which this host gave a place in the last 4 s.',
    labels: ['server'],
  },
  poppypond_cold_servers: {
    type: 'gauge',
    help: 'Servers that are cold, by service, for services with a cold start.',
    labels: ['service'],
  },
  poppypond_server_slowdown: {
    type: 'gauge',
    help: 'Time that a server takes, relative to the usual one, for servers that are slow now.',
    labels: ['server'],
  },
  poppypond_server_speed_changes_total: {
    type: 'counter',
    help: 'Servers that this host found slow or as fast as others again, by what it knew it from.',
    labels: ['change', 'source'],
  },
  poppypond_servers_at_bound: {
    type: 'gauge',
    help: 'Servers that this host, as a planner, could grant nothing in the last second, by service, as they may turn cold.',
    labels: ['service'],
  },
  poppypond_bounded_calls_total: {
    type: 'counter',
    help: 'Calls to servers that may turn cold, by whether the host had room itself or needed a permit.',
    labels: ['room'],
  },
  poppypond_avoided_servers: {
    type: 'gauge',
    help: 'Servers that this host avoids after failures, by service.',
    labels: ['service'],
  },
  poppypond_probation_servers: {
    type: 'gauge',
    help: 'Servers that were avoided and get few requests at first, by service.',
    labels: ['service'],
  },
  poppypond_failing_servers_total: {
    type: 'counter',
    help: 'Servers that became avoided for their failure rate.',
    labels: ['service'],
  },
  poppypond_silent_connections_total: {
    type: 'counter',
    help: 'Connections that went silent although their server accepts new ones.',
    labels: ['service'],
  },
  poppypond_unreached_servers: {
    type: 'gauge',
    help: 'Servers that this host did not reach since its last connection to any.',
    labels: [],
  },
  poppypond_broken_paths: {
    type: 'gauge',
    help: 'Servers that this host does not reach although another host does.',
    labels: [],
  },
  poppypond_forwarding_requests_total: {
    type: 'counter',
    help: 'Connections that this host asked other hosts for, by how they ended.',
    labels: ['end'],
  },
  poppypond_forwarded_connections_total: {
    type: 'counter',
    help: 'Connections that other hosts asked this one for, by status of the response.',
    labels: ['status'],
  },
  poppypond_sends_held_back_total: {
    type: 'counter',
    help: 'Servers that were chosen and could be sent nothing any more, by why.',
    labels: ['why'],
  },
  poppypond_start_milliseconds: {
    type: 'gauge',
    help: 'Start of the process to its first confirmed configuration.',
    labels: [],
  },
  poppypond_startup_waits_total: {
    type: 'counter',
    help: 'Requests that waited for the configuration after a start or a pause, by how that ended.',
    labels: ['end'],
  },
  poppypond_peer_unreadable_total: {
    type: 'counter',
    help: 'Datagrams from other hosts that are not valid messages, by reason.',
    labels: ['reason'],
  },
  poppypond_quarantine_changes_total: {
    type: 'counter',
    help: 'Requests that were found to end servers, tried again, or served after all.',
    labels: ['change'],
  },
  poppypond_requests_quarantined: {
    type: 'gauge',
    help: 'Requests that are not run, as servers ended under them.',
    labels: [],
  },
  poppypond_store_calls_total: {
    type: 'counter',
    help: 'Calls to the store, by operation, result and reason.',
    labels: ['operation', 'result', 'reason'],
  },
  poppypond_admission_demand_engines: {
    type: 'gauge',
    help: 'Engines that the requests of a service and priority ask for, on the host that plans for it.',
    labels: ['service_priority'],
  },
  poppypond_admission_capacity_engines: {
    type: 'gauge',
    help: 'Usable engines of a service with admission control, on the host that plans for it.',
    labels: ['service'],
  },
  poppypond_admission_expected_retries: {
    type: 'gauge',
    help: 'Refused callers of a service that are expected again, on its planner and on its standby.',
    labels: ['service'],
  },
  poppypond_admission_refusals_total: {
    type: 'counter',
    help: 'Requests that admission control refused, by service and priority.',
    labels: ['service', 'priority'],
  },
  poppypond_host_held_bytes: {
    type: 'gauge',
    help: 'Bytes that this host holds, by use, if its memory is configured.',
    labels: ['use'],
  },
  poppypond_host_used_bytes: {
    type: 'gauge',
    help: 'Held bytes, or resident memory beyond what the process needs if that is more.',
    labels: [],
  },
  poppypond_host_link_share: {
    type: 'gauge',
    help: 'Part of the link that was used for callers and servers in the last second, if its bandwidth is configured.',
    labels: [],
  },
  poppypond_host_refusals_total: {
    type: 'counter',
    help: 'Requests refused or ended for want of memory or for a slow caller, by reason.',
    labels: ['why'],
  },
  poppypond_requests_open: { type: 'gauge', help: 'Requests being served.', labels: [] },
  poppypond_configuration_version: {
    type: 'gauge',
    help: 'Version of the configuration in force.',
    labels: [],
  },
  poppypond_configuration_age_milliseconds: {
    type: 'gauge',
    help: 'Time since the configuration in force was proved to be the newest.',
    labels: [],
  },
  poppypond_configuration_unreadable: {
    type: 'gauge',
    help: "Whether the newest configuration in the store can't be decoded: 1 or 0.",
    labels: [],
  },
  poppypond_zone_evacuated: {
    type: 'gauge',
    help: 'Availability zones that are evacuated: 1 for each.',
    labels: ['zone'],
  },
  poppypond_evacuations_age_milliseconds: {
    type: 'gauge',
    help: 'Time since the set of evacuated zones was confirmed to be the newest.',
    labels: [],
  },
  poppypond_configuration_unproved: {
    type: 'gauge',
    help: 'Whether keys count by a configuration that was not proved the newest lately: 1 or 0.',
    labels: [],
  },
  poppypond_key_judgements_total: {
    type: 'counter',
    help: 'Changes of whether keys count: proved, unproved or refused.',
    labels: ['keys'],
  },
  poppypond_backend_servers: {
    type: 'gauge',
    help: 'Backend servers that may take work.',
    labels: [],
  },
  poppypond_peer_messages_total: {
    type: 'counter',
    help: 'Messages sent to other hosts, by kind.',
    labels: ['kind'],
  },
  poppypond_peer_bytes_total: {
    type: 'counter',
    help: 'Bytes of messages sent to other hosts, by kind.',
    labels: ['kind'],
  },
  poppypond_peers: { type: 'gauge', help: 'Other hosts heard from lately.', labels: [] },
} as const satisfies Record<string, PrometheusMetricEntry>;

type MetricNamesOf<Type extends PrometheusMetricEntry['type']> = {
  [Name in keyof typeof PROMETHEUS_METRICS]: (typeof PROMETHEUS_METRICS)[Name]['type'] extends Type
    ? Name
    : never;
}[keyof typeof PROMETHEUS_METRICS];

/** Label values by label name. */
export type PrometheusLabels = Readonly<Record<string, string>>;

/**
 * Upper bounds in milliseconds. They include the values of the latency objectives, so that the
 * share of requests within an objective can be read from a bucket.
 */
const BUCKETS_MS = [5, 10, 25, 50, 100, 150, 200, 300, 500, 800, 1500, 3000, 5000, 10_000, 15_000];

/** Prometheus metrics of one process. */
export class PrometheusMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  constructor() {
    for (const [name, { type, help, labels }] of Object.entries(PROMETHEUS_METRICS)) {
      const options = { name, help, labelNames: [...labels], registers: [this.#registry] };
      if (type === 'counter') this.#counters.set(name, new Counter(options));
      else if (type === 'gauge') this.#gauges.set(name, new Gauge(options));
      else this.#histograms.set(name, new Histogram({ ...options, buckets: BUCKETS_MS }));
    }
  }

  count(name: MetricNamesOf<'counter'>, labels: PrometheusLabels, by = 1): void {
    this.#counters.get(name)?.inc({ ...labels }, by);
  }

  set(name: MetricNamesOf<'gauge'>, value: number): void {
    this.#gauges.get(name)?.set(value);
  }

  /** Sets a gauge for each value of its only label, and removes its other series. */
  replaceSeries(name: MetricNamesOf<'gauge'>, values: ReadonlyMap<string, number>): void {
    const gauge = this.#gauges.get(name);
    const [label = ''] = PROMETHEUS_METRICS[name].labels;
    gauge?.reset();
    for (const [labelValue, value] of values) gauge?.set({ [label]: labelValue }, value);
  }

  observe(name: MetricNamesOf<'histogram'>, milliseconds: number, labels: PrometheusLabels): void {
    this.#histograms.get(name)?.observe({ ...labels }, milliseconds);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
