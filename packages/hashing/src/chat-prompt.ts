/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** The prompt text that chat messages amount to. */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  return messages.map((message) => `${message.role}: ${message.content}\n`).join('');
}
