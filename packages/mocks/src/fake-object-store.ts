import type { ObjectStore, StoreFault } from '@poppypond/state';
import { Result } from 'true-myth';

/** An in-memory object store that can be made unavailable. */
export class FakeObjectStore implements ObjectStore {
  readonly objects = new Map<string, string>();
  isDown = false;

  #respond<Value>(value: () => Value): Promise<Result<Value, StoreFault>> {
    const down: StoreFault = { reason: 'unavailable', detail: 'down' };
    return Promise.resolve(this.isDown ? Result.err(down) : Result.ok(value()));
  }

  put(name: string, body: string): Promise<Result<void, StoreFault>> {
    return this.#respond(() => void this.objects.set(name, body));
  }

  get(name: string): Promise<Result<string | undefined, StoreFault>> {
    return this.#respond(() => this.objects.get(name));
  }

  list(prefix: string, after = ''): Promise<Result<readonly string[], StoreFault>> {
    return this.#respond(() =>
      [...this.objects.keys()].filter((name) => name.startsWith(prefix) && name > after).sort(),
    );
  }

  remove(name: string): Promise<Result<void, StoreFault>> {
    return this.#respond(() => void this.objects.delete(name));
  }
}
