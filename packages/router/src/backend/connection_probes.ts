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

type SetOption = (descriptor: number, option: number, value: number) => void;

const setOption = openSetOption();

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
  if (setOption === undefined || descriptor === undefined) {
    return false;
  }
  setOption(descriptor, PROBE_INTERVAL_OPTION, settings.intervalMs / 1_000);
  setOption(descriptor, PROBE_COUNT_OPTION, settings.count);
  setOption(descriptor, USER_TIMEOUT_OPTION, settings.unacknowledgedMs);
  return true;
}

/** Node.js has no public accessor for the file descriptor of a connection. */
function readDescriptor(socket: Socket): number | undefined {
  const { _handle: handle } = socket as { _handle?: { fd?: number } | null };
  const descriptor = handle?.fd;
  return descriptor === undefined || descriptor < 0 ? undefined : descriptor;
}

function openSetOption(): SetOption | undefined {
  if (process.platform !== "linux") {
    return undefined;
  }
  try {
    const koffi = createRequire(import.meta.url)("koffi");
    const setsockopt = koffi.load("libc.so.6").func("setsockopt", "int", [
      "int",
      "int",
      "int",
      "void *",
      "uint32_t",
    ]);
    return (descriptor, option, value) => {
      const bytes = Int32Array.of(value);
      setsockopt(
        descriptor,
        PROTOCOL_TCP,
        option,
        bytes,
        bytes.byteLength,
      );
    };
  } catch {
    // Without the native library connections are probed as Node.js does it.
    return undefined;
  }
}
