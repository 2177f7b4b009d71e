/**
 * Reads the bodies of HTTP messages, and detects disconnected callers.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** A body, or why it could not be read: it exceeds the limit, or the connection ended before the body. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: Buffer | undefined }
  | { readonly kind: "too_large" }
  | { readonly kind: "cut" };

/** The length of a message's body according to its header, in bytes; 0 if it declares none. */
export function declaredLength(message: IncomingMessage): number {
  return Number(message.headers["content-length"] ?? 0);
}

/** Reads the body of a message into memory, up to a limit in bytes; `undefined` where it has none. */
export function readBody(
  message: IncomingMessage,
  limit: { bytes: number },
): Promise<BodyResult> {
  const hasBody = message.headers["content-length"] !== undefined ||
    message.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    return Promise.resolve({ kind: "body", body: undefined });
  }
  if (declaredLength(message) > limit.bytes) {
    return Promise.resolve({ kind: "too_large" });
  }
  if (message.destroyed) {
    return Promise.resolve({ kind: "cut" });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit.bytes) {
        resolve({ kind: "too_large" });
        return;
      }
      chunks.push(chunk);
    });
    message.on(
      "end",
      () => resolve({ kind: "body", body: Buffer.concat(chunks) }),
    );
    message.on("close", () => resolve({ kind: "cut" }));
    message.on("error", () => resolve({ kind: "cut" }));
  });
}

/** Whether the connection of a message was closed by either side. */
export function hasDisconnected(message: IncomingMessage): boolean {
  const { socket } = message;
  return socket.destroyed || socket.readableEnded || socket.writableEnded;
}
