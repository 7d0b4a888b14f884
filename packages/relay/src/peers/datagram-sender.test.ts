import { PrometheusMetrics } from '@poppypond/telemetry';
import { expect, it } from 'vitest';
import { DatagramSender } from './datagram-sender.js';
import type { PeerMessage } from './peer-messages.js';

const LOOPBACK = '127.0.0.1';

it('transmits messages that were sent before it was closed, and none that are sent after', async () => {
  const heard: PeerMessage[] = [];
  let onHeard: () => void = () => undefined;
  const receiver = await DatagramSender.bind(LOOPBACK, 0, new PrometheusMetrics(), (message) => {
    heard.push(message);
    onHeard();
  });
  const isHeard = new Promise<void>((resolve) => {
    onHeard = resolve;
  });
  const sender = await DatagramSender.bind(LOOPBACK, 0, new PrometheusMetrics(), () => undefined);
  const leave: PeerMessage = { kind: 'leave', host: 'host-1', incarnation: 'life-1', port: 1 };
  sender.send(LOOPBACK, receiver.socket.address().port, leave);
  sender.close();
  sender.send(LOOPBACK, receiver.socket.address().port, { ...leave, host: 'host-2' });
  await isHeard;
  expect(heard).toEqual([leave]);
  receiver.close();
});
