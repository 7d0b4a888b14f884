import type { Milliseconds } from './clock.js';

/** `CLOCK_BOOTTIME` of Linux: it counts the time for which the machine was suspended. */
const CLOCK_BOOTTIME = 7;
/** Seconds and nanoseconds, 64 bits each. */
const TIMESPEC_BYTES = 16;
const NANOSECONDS_OFFSET = 8;
const MS_PER_SECOND = 1000;
const NS_PER_MS = 1_000_000;

let read: (() => Milliseconds) | undefined;

/**
 * The system's clock that counts suspended time, since the machine's start; undefined before it was loaded.
 * Node has none: its `os.uptime()` reads a file of 10 ms steps, opened anew each time.
 */
export function readBootClock(): Milliseconds | undefined {
  return read?.();
}

/**
 * Loads the library that can call the system's C library: 3 ms of a host's start and 2 MB, so it is not waited
 * for. Resolves with the reason where there is no such clock; suspensions are not seen then.
 */
export async function loadBootClock(): Promise<string | undefined> {
  if (process.platform !== 'linux') return `no such clock on ${process.platform}`;
  try {
    const { default: koffi } = await import('koffi');
    const getTime = koffi.load(null).func('int clock_gettime(int clock, _Out_ uint8_t *time)');
    const time = Buffer.alloc(TIMESPEC_BYTES);
    read = () => {
      getTime(CLOCK_BOOTTIME, time);
      const seconds = Number(time.readBigInt64LE(0));
      const nanoseconds = Number(time.readBigInt64LE(NANOSECONDS_OFFSET));
      return seconds * MS_PER_SECOND + nanoseconds / NS_PER_MS;
    };
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
