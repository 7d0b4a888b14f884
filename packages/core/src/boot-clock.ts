import type { Milliseconds } from './clock.js';

/** Linux `CLOCK_BOOTTIME`, which also advances while the host is suspended. */
const CLOCK_BOOTTIME = 7;
/** Size of a `struct timespec`: seconds and nanoseconds of 64 bits each. */
const TIMESPEC_BYTES = 16;
const NANOSECONDS_OFFSET = 8;
const MS_PER_SECOND = 1000;
const NS_PER_MS = 1_000_000;

let read: (() => Milliseconds) | undefined;

/**
 * Returns the time since the host booted, including the time for which it was suspended, or
 * undefined until `loadBootClock` has succeeded. Node has no such clock: `os.uptime()` has a
 * resolution of 10 ms and opens a file on each call.
 */
export function readBootClock(): Milliseconds | undefined {
  return read?.();
}

/**
 * Loads koffi, through which the C library is called. This takes 3 ms and 2 MB, so the start of a
 * host does not wait for it. Resolves to the reason if the clock is not available; suspensions are
 * not detected then.
 */
export async function loadBootClock(): Promise<string | undefined> {
  if (process.platform !== 'linux') return `CLOCK_BOOTTIME is not available on ${process.platform}`;
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
