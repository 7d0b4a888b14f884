import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

type Action = () => void;

let trim: Action | undefined;
let collect: Action | undefined;

function isAction(value: unknown): value is Action {
  return typeof value === 'function';
}

/** V8 exposes its collector to contexts that are created after the flag was set. */
function loadCollector(): Action {
  setFlagsFromString('--expose-gc');
  const gc: unknown = runInNewContext('gc');
  return isAction(gc) ? gc : () => undefined;
}

/**
 * The allocator of the C library keeps what is freed between blocks in use; `malloc_trim` returns
 * it. Other C libraries have no such function.
 */
async function loadTrim(): Promise<Action> {
  try {
    const { default: koffi } = await import('koffi');
    const mallocTrim = koffi.load(null).func('int malloc_trim(size_t pad)');
    return () => {
      mallocTrim(0);
    };
  } catch {
    return () => undefined;
  }
}

/**
 * Returns memory that the process does not use to the system: collects garbage and returns what the
 * allocator keeps. Blocks the process; the first call also loads what it needs.
 */
export async function releaseUnusedMemory(): Promise<void> {
  collect ??= loadCollector();
  trim ??= await loadTrim();
  collect();
  // The second collection completes what the first has left to background threads.
  collect();
  trim();
}
