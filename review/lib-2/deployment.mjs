// Starts a small deployment on loopback: the store, the replicas and the relays, each relay as a
// separate process with the command of deploy/system.toml. Writes what happened to record.txt.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { StoreStandIn } from './store.mjs';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const LOOPBACK = '127.0.0.1';
export const hasTrouble = process.env.TROUBLE !== '0';
/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export function freePort() {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The command of the relay, as deploy/system.toml has it. */
function relayCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text);
  if (!run) throw new Error('deploy/system.toml has no command');
  return run[1].split(' ');
}

/** Whether a line of a relay's log is kept in the record. */
function isKept(line) {
  return line !== '' && !/event=(placed|first_event) /.test(line);
}

export class Deployment {
  #children = new Set();
  #folder = mkdtempSync(join(tmpdir(), 'poppypond-review-'));
  #lines = [];
  #startedAt = performance.now();
  store = new StoreStandIn();
  relays = [];

  constructor(caseFolder) {
    this.recordPath = join(caseFolder, 'record.txt');
  }

  record(what, fields = {}) {
    const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    const rest = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    this.#lines.push([at, what, ...rest].join(' '));
  }

  /** Starts a process that is killed at the end of the case. */
  start(command, args, options) {
    const child = spawn(command, args, options);
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    return child;
  }

  async startRelay(name, { zone = 'zone-a', settings = {}, storePort = this.store.port } = {}) {
    const [port, ready, peers, metrics] = [
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    // The fields of deploy/settings.json.template, with the bounds of a small site.
    const filled = {
      host: name,
      availabilityZone: zone,
      address: LOOPBACK,
      listen: `${LOOPBACK}:${port}`,
      readinessListen: `${LOOPBACK}:${ready}`,
      coreShare: 0.675,
      coreSpeed: 1,
      peerPort: peers,
      // All relays of a case share one address, so each has its own port for metrics.
      metricsPort: metrics,
      store: `${LOOPBACK}:${storePort}`,
      keysTrustedMs: 5000,
      configurationWithinMs: 2000,
      leavingWithinMs: 2000,
      observesServerSpeeds: true,
      zoneRegions: 'zone-a=region,zone-b=region,zone-c=region',
      memoryMegabytes: 350,
      maxDescriptors: 4100,
      linkMegabitsPerSecond: 1000,
      retryRatio: 0.2,
      retryWindowSeconds: 10,
      retrySlack: 104,
      stopGraceSeconds: 8,
      keysNeedProof: true,
      ...settings,
    };
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(filled));
    const relay = { name, port, ready, peers, metrics, file, log: [], child: undefined };
    this.relays.push(relay);
    this.launch(relay);
    return relay;
  }

  /** Starts the process of a relay, also again after its end. */
  launch(relay) {
    const [command, ...args] = relayCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = this.start(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, POPPYPOND_SETTINGS: relay.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    relay.child = child;
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (bytes) => relay.log.push(...bytes.toString().split('\n')));
    child.once('exit', (code, signal) =>
      this.record('relay ended', { relay: relay.name, code, signal }),
    );
  }

  async untilReady(relay, timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      const { status } = await call(relay.ready, { method: 'GET', path: '/-/readiness' });
      if (status === 200) return;
      await sleep(100);
    }
    throw new Error(`${relay.name} is not ready`);
  }

  /** Writes the record, with the last log lines of the relays, and ends all processes. */
  async end(verdict) {
    this.record('verdict', { verdict });
    for (const { name, log } of this.relays)
      this.#lines.push(`-- log of ${name}`, ...log.filter(isKept).slice(-300));
    writeFileSync(this.recordPath, `${this.#lines.join('\n')}\n`);
    this.store.close();
    const ended = [...this.#children].map(
      (child) => new Promise((resolve) => child.once('exit', resolve)),
    );
    for (const child of this.#children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.race([Promise.all(ended), sleep(3000)]);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Runs a case; `body` returns whether the rule was broken. */
export async function runCase(caseUrl, body) {
  const deployment = new Deployment(fileURLToPath(new URL('.', caseUrl)));
  let code = NOT_RUN;
  try {
    code = (await body(deployment)) ? BROKEN : HELD;
  } catch (error) {
    deployment.record('the case could not run', { error: String(error?.stack ?? error) });
  }
  await deployment.end(['held', 'broken', 'not run'][code]);
  console.log(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  process.exit(code);
}

/**
 * Sends a request and resolves with what a requester sees; `isComplete`: whether the answer ended as
 * HTTP says that it is complete.
 */
export function call(port, { method = 'POST', path, headers = {}, body, agent = false, onData }) {
  return new Promise((resolve) => {
    const lost = { status: 0, headers: {}, body: '', isComplete: false };
    const outgoing = request({ host: LOOPBACK, port, method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => {
        chunks.push(chunk);
        onData?.(chunk);
      });
      response.on('error', () => undefined);
      response.once('close', () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        }),
      );
    });
    outgoing.on('error', (error) => resolve({ ...lost, error: error.code ?? error.message }));
    outgoing.end(body);
  });
}

let nextId = 0;
/** A request id that no other request of the case has. */
export function newId() {
  nextId += 1;
  return `r${String(nextId).padStart(15, '0')}`;
}
