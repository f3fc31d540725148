/**
 * Free ports for the programs of a run.
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
 * Draws ports that nobody listens on, all different.
 *
 * All of them are held until the last is drawn. Drawn one after the other, two in a thousand sets of six held the same
 * port twice; a program of such a run ends at its start, as its address is in use.
 *
 * @param count - how many
 * @returns the ports
 * @example
 * ```ts
 * const [caller, metrics] = await portDraw.draw(2);
 * ```
 */
export async function draw(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.listen(0, '0.0.0.0', resolve))),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}
