import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { startProgram } from '@poppypond/launch';
import { describe, expect, it } from 'vitest';

const REQUIRED = ['--host', 'h', '--zone', 'z', '--platform-url', 'http://127.0.0.1:1'];
const PROGRAMS = ['gateway', 'controller', 'admin', 'standin', 'load', 'cli'] as const;

function run(program: (typeof PROGRAMS)[number], args: readonly string[], env = {}) {
  const path = fileURLToPath(new URL(`../../${program}/dist/main.js`, import.meta.url));
  const options = { encoding: 'utf8' as const, env: { ...process.env, ...env } };
  return spawnSync(process.execPath, [path, ...args], options);
}

describe('programs', () => {
  it.each(PROGRAMS)('%s prints its usage with --help', (program) => {
    const { status, stdout } = run(program, ['--help']);
    expect(status).toBe(0);
    expect(stdout.length).toBeGreaterThan(200);
  });

  it.each([
    ['an unknown flag', ['--wrong', '1'], {}, /--wrong/],
    ['an invalid value', ['--listen-port', 'many'], {}, /--listen-port \(POPPYPOND_LISTEN_PORT\)/],
    [
      'an invalid environment variable',
      [],
      { POPPYPOND_FAN_OUT: '-1' },
      /--fan-out \(POPPYPOND_FAN_OUT\)/,
    ],
    ['an unknown environment variable', [], { POPPYPOND_WRONG: '1' }, /POPPYPOND_WRONG/],
  ])('rejects %s with one line that names it, and exit code 2', (_name, args, env, line) => {
    const { status, stderr } = run('gateway', [...REQUIRED, ...args], env);
    expect(status).toBe(2);
    expect(stderr.trim().split('\n')).toHaveLength(1);
    expect(stderr).toMatch(line);
  });

  it('names a missing setting', () => {
    const { status, stderr } = run('gateway', ['--zone', 'a']);
    expect(status).toBe(2);
    expect(stderr).toMatch(/^poppypond-gateway: --host \(POPPYPOND_HOST\): .*\n$/);
  });

  it('prefers a flag over its environment variable, and exits with code 0 on SIGTERM', async () => {
    process.env['POPPYPOND_KV_TOKENS'] = '7';
    const program = await startProgram('standin', ['engine'], { 'kv-tokens': 9 });
    delete process.env['POPPYPOND_KV_TOKENS'];
    const load = await (await fetch(`${program.url}/load`)).text();
    expect(load).toContain('"kvTokens":9');
    program.signal('SIGTERM');
    expect(await program.ended()).toBe(0);
  });
});
