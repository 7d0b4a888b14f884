/** Ends a turn; calling it again has no effect. */
export type Unlock = () => void;

/**
 * Lets one at a time through, in order of arrival. Groups of one host take turns to reserve
 * memory: without this they took parts from each other and all of them had to back off.
 */
export class Mutex {
  #lastRelease: Promise<void> = Promise.resolve();

  /** Resolves when it is this caller's turn. */
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
