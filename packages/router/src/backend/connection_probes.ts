/**
 * Probes of idle TCP connections: the kernel closes a connection whose other end is no longer reachable, which is
 * otherwise indistinguishable from one without traffic.
 *
 * A peer whose kernel still responds but whose process doesn't is not detected.
 *
 * @module
 */
import { createRequire } from "node:module";
import type { Socket } from "node:net";

/** `IPPROTO_TCP`, from the Linux headers. */
const PROTOCOL_TCP = 6;
/** `SOL_SOCKET`, from the Linux headers. */
const SOCKET_LEVEL = 1;
/** `SO_ERROR`: the error that has occurred on a connection and was not reported yet. */
const ERROR_OPTION = 4;
/** `TCP_KEEPINTVL`: time between two probes, in seconds. */
const PROBE_INTERVAL_OPTION = 5;
/** `TCP_KEEPCNT`: number of probes without response after which a connection is closed. */
const PROBE_COUNT_OPTION = 6;
/** `TCP_USER_TIMEOUT`: time for which sent data may remain unacknowledged, in milliseconds. */
const USER_TIMEOUT_OPTION = 18;

/** When an idle connection is probed, and when it counts as dead. */
export interface ProbeSettings {
  /** Idle time after which a connection is probed, in milliseconds; whole seconds. */
  readonly idleMs: number;
  /** Time between two probes, in milliseconds; whole seconds. */
  readonly intervalMs: number;
  /** Number of probes without response after which a connection is closed. */
  readonly count: number;
  /** Time for which sent data may remain unacknowledged, in milliseconds. */
  readonly unacknowledgedMs: number;
}

/** The functions of the native library. */
interface SocketOptions {
  /** Sets an option of TCP. */
  readonly set: (descriptor: number, option: number, value: number) => void;
  /** Returns an option of the socket; `undefined` if that fails. */
  readonly get: (descriptor: number, option: number) => number | undefined;
}

const options = openSocketOptions();

/**
 * Probes an open connection.
 *
 * Without the native library, or on another system, only `idleMs` applies: Node.js then sends up to ten probes, one
 * each second.
 *
 * @returns whether all settings apply.
 */
export function probeConnection(
  socket: Socket,
  settings: ProbeSettings,
): boolean {
  socket.setKeepAlive(true, settings.idleMs);
  const descriptor = readDescriptor(socket);
  if (options === undefined || descriptor === undefined) {
    return false;
  }
  options.set(descriptor, PROBE_INTERVAL_OPTION, settings.intervalMs / 1_000);
  options.set(descriptor, PROBE_COUNT_OPTION, settings.count);
  options.set(descriptor, USER_TIMEOUT_OPTION, settings.unacknowledgedMs);
  return true;
}

/**
 * Whether an error of a connection has not been reported. Node.js reports a reset that arrives together with data as the
 * regular end of the connection. Always false without the native library.
 */
export function hasUnreportedError(socket: Socket): boolean {
  const descriptor = readDescriptor(socket);
  return options !== undefined && descriptor !== undefined &&
    (options.get(descriptor, ERROR_OPTION) ?? 0) !== 0;
}

/** Node.js has no public accessor for the file descriptor of a connection. */
function readDescriptor(socket: Socket): number | undefined {
  const { _handle: handle } = socket as { _handle?: { fd?: number } | null };
  const descriptor = handle?.fd;
  return descriptor === undefined || descriptor < 0 ? undefined : descriptor;
}

function openSocketOptions(): SocketOptions | undefined {
  if (process.platform !== "linux") {
    return undefined;
  }
  try {
    const koffi = createRequire(import.meta.url)("koffi");
    const library = koffi.load("libc.so.6");
    const common = ["int", "int", "int", "void *"];
    const setsockopt = library.func("setsockopt", "int", [
      ...common,
      "uint32_t",
    ]);
    const getsockopt = library.func("getsockopt", "int", [...common, "void *"]);
    return {
      set: (descriptor, option, value) => {
        const bytes = Int32Array.of(value);
        setsockopt(descriptor, PROTOCOL_TCP, option, bytes, bytes.byteLength);
      },
      get: (descriptor, option) => {
        const value = new Int32Array(1);
        const size = Int32Array.of(value.byteLength);
        const result = getsockopt(
          descriptor,
          SOCKET_LEVEL,
          option,
          value,
          size,
        );
        return result === 0 ? value[0] : undefined;
      },
    };
  } catch {
    // Without the native library connections are probed as Node.js does it.
    return undefined;
  }
}
