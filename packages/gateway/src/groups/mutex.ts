/** Releases the lock; further calls have no effect. */
export type Unlock = () => void;

/**
 * Lock that is granted in order of arrival. Groups of one host hold it while they reserve memory.
 * Without it, concurrent groups take memory from each other and all of them have to back off.
 */
export class Mutex {
  #lastRelease: Promise<void> = Promise.resolve();

  /** Resolves when all earlier holders have released the lock. */
  async lock(): Promise<Unlock> {
    const before = this.#lastRelease;
    let end: Unlock = () => undefined;
    this.#lastRelease = new Promise((resolve) => {
      end = resolve;
    });
    await before;
    return end;
  }
}
