/** Ends a turn; calling it again has no effect. */
export type EndTurn = () => void;

/**
 * Lets one at a time through, in order of arrival. Groups of one host take turns to reserve
 * memory: without this they took parts from each other and all of them had to back off.
 */
export class Turns {
  #last: Promise<void> = Promise.resolve();

  /** Resolves when it is this caller's turn. */
  async take(): Promise<EndTurn> {
    const before = this.#last;
    let end: EndTurn = () => undefined;
    this.#last = new Promise((resolve) => {
      end = resolve;
    });
    await before;
    return end;
  }
}
