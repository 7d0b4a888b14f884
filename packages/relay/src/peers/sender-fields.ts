/** Fields that identify the sender in each message. */
export interface SenderFields {
  readonly host: string;
  /** Changes with each start of its process. */
  readonly incarnation: string;
  readonly port: number;
}
