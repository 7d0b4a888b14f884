// A small deployment on loopback: a store, replicas and machines with the project's program.
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { randomInt } from 'node:crypto';
import { freePort, until } from './loopback.mjs';
import { Relay } from './relay.mjs';
import { Replica } from './replica.mjs';
import { Store } from './store.mjs';

const ZONES = {
  'regina-a': 'prairie-west',
  'saskatoon-b': 'prairie-west',
  'brandon-c': 'prairie-west',
};
/** Loopback addresses of this run: the metrics port is the same on all machines. */
const NETWORK = `127.${40 + randomInt(200)}.${1 + randomInt(250)}`;
const STORE_IP = `${NETWORK}.1`;
const FIRST_MACHINE = 10;
const FIRST_REPLICA = 100;

/** The manifest: one route of each kind, with the sheet's times. */
export function manifest(version, change = {}) {
  const route = { hostname: 'a.example', timeout_ms: 10_000, target_latency_ms: 300, priority: 1 };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'confirm',
        path_prefix: '/confirm/',
        route_type: 'safe',
        service: 'unit-register',
        max_attempts: 2,
        timeout_ms: 2000,
      },
      {
        ...route,
        name: 'lookup',
        path_prefix: '/lookup/',
        route_type: 'unsafe',
        service: 'unit-register',
        max_attempts: 1,
        timeout_ms: 2000,
      },
      {
        ...route,
        name: 'query',
        path_prefix: '/query/',
        route_type: 'streaming',
        service: 'assistant-pool',
        max_attempts: 2,
        stream_resume: true,
        gap_aim_ms: 200,
        session_affinity: true,
      },
    ],
    services: [
      { name: 'unit-register', health_check: '/health', max_connections: 110 },
      {
        name: 'assistant-pool',
        health_check: '/health',
        max_connections: 434,
        engine: {
          slots: 11,
          kv_capacity_tokens: 450_000,
          stride: 46,
          step_ms: 0.925,
          per_seq_ms: 0.00483,
          context_per_k: 0.00254,
          read_per_s: 256_000,
          chunk: 2048,
          pairs_per_m: 0.0917,
          usual: { prompt: 15_000, answer: 1500 },
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'wheat', api_keys: ['key-1', 'key-2'] }],
    ...change,
  };
}

export class Deployment {
  relays = [];
  replicas = [];
  #record;
  #folder = mkdtempSync(join(tmpdir(), 'poppypond-review-'));
  #startedAtMs = performance.now();

  constructor(recordFile) {
    this.#record = recordFile;
    if (recordFile) writeFileSync(recordFile, '');
  }

  /** Writes one line to the record, with the seconds since the start. */
  note(text) {
    const atS = ((performance.now() - this.#startedAtMs) / 1000).toFixed(3).padStart(8);
    if (this.#record) appendFileSync(this.#record, `${atS} ${text}\n`);
    else console.log(`${atS} ${text}`);
  }

  async open({ machines = 1, plain = 3, engines = 0, change = {} }) {
    this.store = new Store();
    await this.store.listen(STORE_IP);
    this.store.put('op', 'config', manifest(1, change));
    const zones = Object.keys(ZONES);
    const ips = Array.from(
      { length: machines },
      (_unused, index) => `${NETWORK}.${FIRST_MACHINE + index}`,
    );
    this.ports = {
      front: await freePort(...ips),
      ready: await freePort(...ips),
      peer: await freePort(...ips),
    };
    for (let index = 0; index < plain; index += 1)
      await this.addReplica(`i-register${index}`, 'unit-register', zones[index % zones.length]);
    for (let index = 0; index < engines; index += 1)
      await this.addReplica(`i-engine${index}`, 'assistant-pool', zones[index % zones.length]);
    for (const [index, ip] of ips.entries()) {
      const zone = zones[index % zones.length];
      this.relays.push(
        new Relay(this.#folder, {
          name: `front-${zone}-${index + 1}`,
          zone,
          ip,
          ports: this.ports,
          store: this.store.address,
          zones: ZONES,
          bootstrap: true,
        }),
      );
    }
    for (const relay of this.relays) relay.start();
    if (!(await this.isServing(15_000))) throw new Error('the machines did not become ready');
  }

  isServing(withinMs) {
    return until(
      async () => {
        const ready = await Promise.all(this.relays.map((relay) => relay.isReady()));
        return ready.every(Boolean);
      },
      withinMs,
      100,
    );
  }

  async addReplica(id, service, zone) {
    const slots = service === 'assistant-pool' ? 11 : 6;
    const replica = new Replica(id, { service, zone, slots });
    await replica.listen(`${NETWORK}.${FIRST_REPLICA + this.replicas.length}`);
    replica.enter(this.store);
    this.replicas.push(replica);
    return replica;
  }

  async close() {
    await Promise.all(this.relays.map((relay) => relay.kill()));
    for (const replica of this.replicas) replica.close();
    this.store?.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
