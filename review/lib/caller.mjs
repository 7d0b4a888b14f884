// Stand-in of a requester.
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';

/** Sends one attempt; resolves with what the requester saw. */
export function send(
  relay,
  {
    path,
    method = 'POST',
    key = 'key-1',
    body,
    headers,
    agent,
    deadlineMs = 4000,
    localAddress,
    onResponse,
  },
) {
  const id = randomBytes(8).toString('hex');
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const end = (seen) =>
      resolve({ id, path, sentAtMs, tookMs: performance.now() - sentAtMs, ...seen });
    const call = request(
      {
        host: relay.ip,
        port: relay.ports.front,
        method,
        path,
        agent: agent ?? false,
        localAddress,
        headers: {
          Host: 'a.example',
          'Poppypond-Request-Id': id,
          'Poppypond-Deadline-Ms': String(deadlineMs),
          Authorization: `Token ${key}`,
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.once('close', () => {
          const { statusCode: status, complete: isComplete, headers: answered } = response;
          end({ status, isComplete, headers: answered, body: Buffer.concat(chunks) });
        });
        onResponse?.(response);
      },
    );
    call.on('error', (error) => {
      const isKept = call.reusedSocket;
      end({ status: 0, isComplete: false, error: error.message, isKept });
    });
    call.end(body);
  });
}
