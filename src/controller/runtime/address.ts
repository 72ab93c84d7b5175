/** Addresses of the form `host:port`. */

/** A host and a port, in the form that `net.connect` expects. */
export interface Address {
  host: string;
  port: number;
}

/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
