import { describe, expect, it } from 'vitest';
import { parseLine } from './log-lines.js';
import { buildTimeline } from './why.js';

const LOG = `
  8.7036 h-2 time=2026-01-01T00:00:04.000Z level=warn event=refused host=h-2 request=r1 code=unauthenticated why="the key is not known" configuration=17 configuration_age_ms=454
time=2026-01-01T00:00:01.000Z level=warn event=configuration_in_force host=h-2 version=14 before=4
time=2026-01-01T00:00:03.000Z level=warn event=configuration_in_force host=h-2 version=17 before=14
time=2026-01-01T00:00:05.000Z level=warn event=configuration_in_force host=h-2 version=18 before=17
time=2026-01-01T00:00:03.000Z level=info event=placed host=h-1 request=r2 server=i-1
`;

describe('poppypond why', () => {
  const lines = LOG.split('\n')
    .filter((text) => text !== '')
    .map(parseLine);

  it('parses pairs with and without quotes', () => {
    expect(lines[0]).toMatchObject({
      event: 'refused',
      why: 'the key is not known',
      configuration: '17',
    });
  });

  it('shows the lines of one request after the configuration that its host had applied', () => {
    expect(buildTimeline(lines, 'r1')).toEqual([
      '2026-01-01T00:00:03.000Z  h-2  configuration_in_force  version=17 before=14',
      '2026-01-01T00:00:04.000Z  h-2  refused  code=unauthenticated why=the key is not known configuration=17 configuration_age_ms=454',
    ]);
    expect(buildTimeline(lines, 'r3')).toEqual([]);
  });

  it('shows the leaving, backoff and rate limit notices that are still in effect when the request begins', () => {
    const told = [
      'time=2026-01-01T00:00:01.000Z event=server_rests host=h-1 server=i-1 for_ms=1500',
      'time=2026-01-01T00:00:02.000Z event=server_rests host=h-1 server=i-2 for_ms=3000',
      'time=2026-01-01T00:00:02.000Z event=server_rests host=h-2 server=i-3 for_ms=3000',
      'time=2026-01-01T00:00:01.000Z event=server_leaving host=h-1 server=i-4 listed=ready',
      'time=2026-01-01T00:00:01.000Z event=server_limit host=h-1 server=i-5 change=named per_second=2',
      'time=2026-01-01T00:00:01.000Z event=server_limit host=h-1 server=i-6 change=named per_second=2',
      'time=2026-01-01T00:00:03.000Z event=server_limit host=h-1 server=i-6 change=over per_second=2',
      'time=2026-01-01T00:00:04.000Z event=answered host=h-1 request=r code=no_backend',
    ].map(parseLine);
    expect(buildTimeline(told, 'r').map((line) => line.split('  ').slice(2).join(' '))).toEqual([
      'server_leaving server=i-4 listed=ready',
      'server_limit server=i-5 change=named per_second=2',
      'server_rests server=i-2 for_ms=3000',
      'answered code=no_backend',
    ]);
  });
});
