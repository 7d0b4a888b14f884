import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Programs that can be started. */
export type ProgramName = 'gateway' | 'controller' | 'admin' | 'standin';

/** Settings as flags, without the leading dashes. */
export type Flags = Readonly<Record<string, string | number | boolean>>;

const START_TIMEOUT_MS = 20_000;
const MAX_LOG_CHARACTERS = 200_000;
const RAN_PREFIX = 'ran request=';

function programPath(name: ProgramName): string {
  return fileURLToPath(new URL(`../../${name}/dist/main.js`, import.meta.url));
}

function formatFlags(flags: Flags): readonly string[] {
  return Object.entries(flags).flatMap(([name, value]) => {
    if (value === true) return [`--${name}`];
    if (value === false) return [`--no-${name}`];
    return [`--${name}`, String(value)];
  });
}

/** A program that runs as its own process. */
export class RunningProgram {
  log = '';
  /** Requests that the program printed as run; available even after it was killed. */
  readonly ran = new Set<string>();
  #exit: Promise<number | null>;

  constructor(
    readonly name: ProgramName,
    readonly child: ChildProcess,
    /** `KEY=VALUE` pairs of the line that the program prints when it starts listening. */
    readonly listening: ReadonlyMap<string, string>,
  ) {
    this.#exit = new Promise((resolve) => {
      child.once('exit', (code) => {
        resolve(code);
      });
    });
    const appendLog = (chunk: Buffer) => {
      this.log = (this.log + chunk.toString('utf8')).slice(-MAX_LOG_CHARACTERS);
    };
    child.stderr?.on('data', appendLog);
    let partialLine = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (partialLine + chunk.toString('utf8')).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) {
        if (line.startsWith(RAN_PREFIX)) this.ran.add(line.slice(RAN_PREFIX.length));
      }
    });
  }

  get url(): string {
    return this.listening.get('url') ?? '';
  }

  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    if (!this.hasExited) this.child.kill(signal);
  }

  /** Resolves with the exit code when the process has exited; null if a signal ended it. */
  ended(): Promise<number | null> {
    return this.hasExited ? Promise.resolve(this.child.exitCode) : this.#exit;
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended();
  }
}

function parseListening(line: string): ReadonlyMap<string, string> {
  const pairs = line
    .trim()
    .split(' ')
    .slice(1)
    .map((pair) => pair.split('='));
  return new Map(pairs.map(([key = '', value = '']) => [key, value]));
}

/** Starts a program. Resolves when it listens; rejects if it exits or does not listen in time. */
export function startProgram(
  name: ProgramName,
  commandPath: readonly string[],
  flags: Flags,
): Promise<RunningProgram> {
  const child = spawn(
    process.execPath,
    [programPath(name), ...commandPath, ...formatFlags(flags)],
    {
      stdio: ['ignore', 'pipe', 'pipe'],
    },
  );
  return new Promise((resolve, reject) => {
    let output = '';
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${name} did not start listening in time: ${output}`));
    }, START_TIMEOUT_MS);
    const onOutput = (chunk: Buffer) => {
      output += chunk.toString('utf8');
      const line = output.split('\n').find((part) => part.startsWith('listening '));
      if (line === undefined) return;
      clearTimeout(timer);
      child.stdout.removeListener('data', onOutput);
      child.removeListener('exit', onExit);
      resolve(new RunningProgram(name, child, parseListening(line)));
    };
    const onError = (chunk: Buffer) => (output += chunk.toString('utf8'));
    const onExit = () => {
      clearTimeout(timer);
      reject(new Error(`${name} exited before it was listening: ${output}`));
    };
    child.stdout.on('data', onOutput);
    child.stderr.on('data', onError);
    child.once('exit', onExit);
  });
}
