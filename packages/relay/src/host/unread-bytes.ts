/**
 * What the kernel takes in on a connection that is not read: Linux offers half of its initial
 * receive buffer of 128 KiB as the window, and enlarges it only for programs that read.
 */
export const MAX_UNREAD_BYTES = 64 * 1024;

/**
 * The same of a connection that was read before: the window has grown. Node may have read once more
 * than it passed on.
 */
export const MAX_PAUSED_BYTES = 2 * MAX_UNREAD_BYTES;

/** Estimates the bytes that have arrived, or will, on a connection that is not read. */
export function unreadBytesOf(expectedBytes: number): number {
  return Math.max(0, Math.min(MAX_UNREAD_BYTES, expectedBytes));
}
