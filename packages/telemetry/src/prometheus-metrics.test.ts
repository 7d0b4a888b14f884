import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { PrometheusMetrics, PROMETHEUS_METRICS } from './prometheus-metrics.js';

function readRelaySources(): string {
  const folder = new URL('../../relay/src/', import.meta.url);
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map((name) => readFileSync(new URL(name, folder), 'utf8'))
    .join('\n');
}

describe('PrometheusMetrics', () => {
  it('are all used by the relay and listed in docs/METRICS.md', () => {
    const sources = readRelaySources();
    const page = readFileSync(new URL('../../../docs/METRICS.md', import.meta.url), 'utf8');
    for (const [name, { type, help, labels }] of Object.entries(PROMETHEUS_METRICS)) {
      expect(sources, name).toContain(`'${name}'`);
      const row = page.split('\n').find((line) => line.startsWith(`| \`${name}\``));
      for (const part of [type, help, ...labels]) expect(row, name).toContain(part);
    }
  });

  it('are returned in the Prometheus text format', async () => {
    const metrics = new PrometheusMetrics();
    metrics.count('poppypond_requests_total', { kind: 'safe', code: 'ok' });
    metrics.observe('poppypond_call_milliseconds', 7, { kind: 'safe' });
    metrics.set('poppypond_peers', 3);
    const text = await metrics.text();
    expect(text).toContain('poppypond_requests_total{kind="safe",code="ok"} 1');
    expect(text).toContain('poppypond_call_milliseconds_bucket{le="10",kind="safe"} 1');
    expect(text).toContain('poppypond_peers 3');
  });
});
