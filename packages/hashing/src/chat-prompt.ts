/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Returns the prompt text for chat messages. */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  return messages.map((message) => `${message.role}: ${message.content}\n`).join('');
}
