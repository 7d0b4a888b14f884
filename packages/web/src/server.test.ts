import { copyFileSync, mkdtempSync } from 'node:fs';
import { connect } from 'node:tls';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { callHttp } from './client.js';
import { listen } from './server.js';
import type { ListeningServer } from './server.js';

const folder = mkdtempSync(join(tmpdir(), 'poppypond-tls-'));
const files = {
  certificateFile: join(folder, 'certificate.pem'),
  keyFile: join(folder, 'key.pem'),
};
let server: ListeningServer | undefined;

afterEach(async () => {
  await server?.close();
});

function installCertificate(name: 'first' | 'second'): void {
  const from = (file: string) => new URL(`./mocks/${name}-${file}.pem`, import.meta.url);
  copyFileSync(from('certificate'), files.certificateFile);
  copyFileSync(from('key'), files.keyFile);
}

/** Returns the common name of the certificate that the server presents. */
function readCertificateName(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: '127.0.0.1', rejectUnauthorized: false }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.once('error', reject);
  });
}

describe('listen with TLS', () => {
  it('uses a renewed certificate without a restart', async () => {
    installCertificate('first');
    server = await listen((_request, response) => response.end('{}'), '127.0.0.1', 0, files);
    const { port } = server;
    expect(server.url).toBe(`https://127.0.0.1:${String(port)}`);
    expect(await readCertificateName(port)).toBe('first');
    installCertificate('second');
    await expect.poll(() => readCertificateName(port), { timeout: 10_000 }).toBe('second');
  });

  it('is rejected by a client that does not trust its certificate authority, and receives no request', async () => {
    installCertificate('first');
    let requests = 0;
    server = await listen(
      (_request, response) => {
        requests += 1;
        response.end('{}');
      },
      '127.0.0.1',
      0,
      files,
    );
    const reply = await callHttp({ method: 'GET', url: server.url, timeoutMs: 2000 });
    expect(reply.isErr && reply.error.mayHaveArrived).toBe(false);
    expect(requests).toBe(0);
  });
});
