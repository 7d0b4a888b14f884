// Runs one case: exit code 1 if its rule was broken, 0 if it held, 2 if the case couldn't run.
import { fileURLToPath } from 'node:url';

const LIMIT_MS = 115_000;

/** `play` gets the file of the record and whether the disruption happens, and tells whether the rule was broken. */
export async function runCase(url, play) {
  const record = fileURLToPath(new URL('record.txt', url));
  const hasTrouble = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => {
    console.error('could not run: the time limit has passed');
    process.exit(2);
  }, LIMIT_MS);
  try {
    const isBroken = await play(record, hasTrouble);
    console.log(isBroken ? 'broken' : 'held');
    process.exitCode = isBroken ? 1 : 0;
  } catch (error) {
    console.error(`could not run: ${error.stack}`);
    process.exitCode = 2;
  }
  clearTimeout(limit);
  process.exit();
}
