/** Accepts connections from the other controllers. */
import net from 'node:net';
import type { Controller } from '../controller.js';
import { readPeerConnection } from '../peers/peer-connection.js';
import { splitAddress } from '../runtime/address.js';
import type { Settings } from '../settings/settings.js';

/** Share of the process's socket limit that connections from peers may use. */
const SOCKETS_SHARE = 0.02;
/** Smallest limit on connections from peers, for processes whose socket limit is low. */
const MIN_SOCKETS = 8;

/** Listens for connections from the other controllers; `onError` receives errors of the listening socket. */
export function listenToPeers(
  { platform }: Settings,
  controller: Controller,
  onError: (err: Error) => void,
): void {
  const server = net.createServer((socket) => readPeerConnection(socket, controller));
  const socketsShare = Math.floor(platform.quota.maxSockets * SOCKETS_SHARE);
  server.maxConnections = Math.max(MIN_SOCKETS, socketsShare);
  server.on('error', onError);
  const { host, port } = splitAddress(platform.internalAddr);
  server.listen(port, host);
}
