/**
 * Reads whole bodies, and notices callers that have left.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** A body, or why there is none. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: Buffer | undefined }
  | { readonly kind: "too_large" }
  | { readonly kind: "cut" };

/** Reads the body of a message, which may be large; `undefined` where it has none. */
export function readBody(
  message: IncomingMessage,
  limit: { bytes: number },
): Promise<BodyResult> {
  const declared = message.headers["content-length"];
  const hasBody = declared !== undefined ||
    message.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    return Promise.resolve({ kind: "body", body: undefined });
  }
  if (Number(declared ?? 0) > limit.bytes) {
    return Promise.resolve({ kind: "too_large" });
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

/** Whether the other side has closed its connection, or this side has. */
export function hasDisconnected(message: IncomingMessage): boolean {
  const { socket } = message;
  return socket.destroyed || socket.readableEnded || socket.writableEnded;
}
