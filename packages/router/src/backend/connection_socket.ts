/**
 * Sockets of connections to HTTP servers: how they are opened, how they ended and how much was received on them.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { buildConnector } from "undici";
import { hasUnreportedError } from "./connection_probes.ts";

/** How long connecting may take, in milliseconds. All peers are a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 400;
/** Port of a peer whose address names none. */
const DEFAULT_PORT = 80;

/** The state of a client's current connection. */
export interface ConnectionState {
  /** A socket that was opened before the first request and has not carried one yet. */
  opened: Socket | undefined;
  /** Whether it is open, and otherwise how it was closed. */
  current: "open" | "ended" | "reset";
  /** Called after the bytes that have arrived on it were parsed. */
  onParsed: (socket: Socket) => void;
  /** Bytes received on it. */
  readBytes: () => number;
  /** The ids of the requests that were sent on it. */
  carriedIds: Set<string>;
  /** Total length of these ids, in UTF-16 code units. */
  carriedIdLength: number;
}

/**
 * Creates a connector that uses a socket that was opened ahead, or opens one, and records its state before the client is
 * notified of it.
 */
export function createTrackingConnector(
  state: ConnectionState,
): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    const { opened } = state;
    state.opened = undefined;
    if (opened !== undefined && isIdle(opened)) {
      trackState(opened, state);
      // The client does not expect to be called back synchronously.
      process.nextTick(() => {
        callback(null, opened);
        trackReads(opened, state);
      });
      return;
    }
    opened?.destroy();
    connect(options, (...[error, socket]) => {
      if (error !== null || !socket) {
        callback(error ?? new Error("no socket was created"), null);
        return;
      }
      trackState(socket, state);
      callback(null, socket);
      trackReads(socket, state);
    });
  };
}

/** Must be called after the client has added its listeners, so that it has parsed what has arrived. */
function trackReads(socket: Socket, state: ConnectionState): void {
  socket.on("readable", () => state.onParsed(socket));
}

/** Records how a connection ends. */
function trackState(socket: Socket, state: ConnectionState): void {
  state.current = "open";
  state.readBytes = () => socket.bytesRead;
  state.carriedIds.clear();
  state.carriedIdLength = 0;
  socket.on("end", () => {
    state.current = hasUnreportedError(socket) ? "reset" : "ended";
  });
  socket.on("error", () => {
    state.current = "reset";
  });
}

/** Whether a socket is open and has received nothing. */
function isIdle(socket: Socket): boolean {
  return !socket.destroyed && !socket.readableEnded && socket.bytesRead === 0;
}

/** Opens a connection to `peer`, an address of the form `host:port`, or tells why it could not be opened in time. */
export function openSocket(
  peer: string,
): Promise<Socket | "refused" | "unavailable"> {
  const { hostname, port } = new URL(`http://${peer}`);
  return new Promise((resolve) => {
    const socket = connect({
      host: hostname.replace(/^\[|\]$/g, ""),
      port: Number(port || DEFAULT_PORT),
      noDelay: true,
    });
    const timer = setTimeout(() => {
      // A result that arrived while the process was stalled is read before the timeout takes effect.
      setImmediate(() => {
        resolve("unavailable");
        socket.destroy();
      });
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.on("error", (cause) => {
      clearTimeout(timer);
      resolve(
        errorCodeOf(cause) === "ECONNREFUSED" ? "refused" : "unavailable",
      );
    });
    // Without a reader the end of the connection would go unnoticed.
    socket.once("readable", () => socket.read(0));
  });
}

/** The error code of the operating system, if the cause of a failure has one. */
export function errorCodeOf(cause: unknown): string | undefined {
  return cause instanceof Error
    ? (cause as NodeJS.ErrnoException).code
    : undefined;
}
