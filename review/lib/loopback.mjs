// Ports on loopback addresses that nothing uses now.
import { createServer } from 'node:net';
import { createSocket } from 'node:dgram';

function isFreeTcp(address, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, address, () => {
      const bound = server.address().port;
      server.close(() => resolve(bound));
    });
  });
}

function isFreeUdp(address, port) {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, address, () => socket.close(() => resolve(true)));
  });
}

/** Returns a port that is free for TCP and UDP at all the addresses. */
export async function freePort(...addresses) {
  for (;;) {
    const [first, ...others] = addresses;
    const port = await isFreeTcp(first, 0);
    if (port === undefined || !(await isFreeUdp(first, port))) continue;
    let isFree = true;
    for (const address of others) {
      isFree &&= (await isFreeTcp(address, port)) !== undefined && (await isFreeUdp(address, port));
    }
    if (isFree) return port;
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Polls `check` until it returns something true; returns undefined after `withinMs`. */
export async function until(check, withinMs, periodMs = 20) {
  const endMs = performance.now() + withinMs;
  while (performance.now() < endMs) {
    const found = await check();
    if (found) return found;
    await sleep(periodMs);
  }
  return undefined;
}
