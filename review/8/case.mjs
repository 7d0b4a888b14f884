// The operator takes the only key away, with the only tenant, from a requester that goes on.
import { createServer } from 'node:http';
import { call, hasTrouble, LOOPBACK, newId, runCase, sleep } from '../lib-2/deployment.mjs';
import { HOST, KEY, manifest } from '../lib-2/manifest.mjs';

const REVOKE_MS = 5000;
const ASKED_FOR_MS = 9000;
const PERIOD_MS = 500;

/** Tenants by request id, of the requests that ran. */
const ran = new Map();

async function startReplica(deployment, id) {
  const server = createServer((message, response) => {
    message.resume();
    const requestId = message.headers['poppypond-request-id'];
    if (requestId === undefined) return response.end('{}');
    const tenant = message.headers['poppypond-tenant'];
    ran.set(requestId, tenant);
    deployment.record('runs', { replica: id, id: requestId, tenant });
    response.writeHead(200, {
      'Poppypond-Request-Id': requestId,
      'Poppypond-Server-Signature': `3e1b.07.${id}`,
    });
    response.end('holdings');
  });
  await new Promise((resolve) => server.listen(0, LOOPBACK, resolve));
  const checkIn = () => {
    deployment.store.put('servers', id, {
      service: 'register',
      address: `${LOOPBACK}:${server.address().port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      seq_no: Math.floor(performance.now()),
      born: 1_796_600_000_000,
    });
  };
  checkIn();
  setInterval(checkIn, 1200).unref();
}

await runCase(import.meta.url, async (deployment) => {
  const { store } = deployment;
  await store.listen();
  store.put('op', 'config', manifest(1));
  await startReplica(deployment, 'i-0');
  const relay = await deployment.startRelay('front-a-1');
  await deployment.untilReady(relay);
  await sleep(1500);
  const ask = async () => {
    const id = newId();
    const headers = {
      Host: HOST,
      Authorization: `Token ${KEY}`,
      'Poppypond-Request-Id': id,
      'Poppypond-Deadline-Ms': '4000',
    };
    const { status } = await call(relay.port, { path: '/look/holdings', headers, body: 'x' });
    return { id, status };
  };
  const first = await ask();
  deployment.record('before the change', first);
  if (first.status !== 200) throw new Error('the key was not accepted before it was taken away');
  const version = 3;
  // Without the disruption, the change of the manifest takes no key away.
  store.put('op', 'config', hasTrouble ? manifest(version, { tenants: [] }) : manifest(version));
  const acknowledgedAt = performance.now();
  deployment.record('manifest acknowledged', { version, hasTenants: !hasTrouble });
  let late = 0;
  for (let afterMs = 0; afterMs < ASKED_FOR_MS; afterMs = performance.now() - acknowledgedAt) {
    const { id, status } = await ask();
    deployment.record('asked', { afterMs: Math.round(afterMs), id, status });
    if (hasTrouble && afterMs > REVOKE_MS && ran.has(id)) late += 1;
    if (!hasTrouble && status !== 200)
      throw new Error('a request without disruption was not served');
    await sleep(PERIOD_MS);
  }
  deployment.record('ran with the key that was taken away, sent after revoke_ms', { late });
  return late > 0;
});
