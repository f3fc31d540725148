/**
 * Allocates free TCP ports for the processes of a soak run.
 */
import * as net from 'node:net';

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

/**
 * Allocates distinct ports that no process listens on.
 *
 * All sockets stay open until the last port is known: the kernel may otherwise hand out a port twice, and a process
 * fails to start because its address is in use.
 *
 * @example
 * ```ts
 * const [caller, metrics] = await freePorts.allocate(2);
 * ```
 */
export async function allocate(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.listen(0, '0.0.0.0', resolve))),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}
