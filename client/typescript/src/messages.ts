// The session protocol's messages (docs/protocol/session-websocket.md). Unknown fields and types are passed over:
// a newer director may say more than this library knows. Times on the wire are milliseconds.
import type { Micros } from "../../core/core.js";

export interface Ask {
  key: string;
  viewer: string;
  title: string;
  room: string;
  tenant?: string | undefined;
  top?: number | undefined;
  timeout?: Micros | undefined;
  length?: Micros | undefined;
  again?: string | undefined;
  againAge?: Micros | undefined; // how long ago the key was first sent there
}

export type Said = "hello" | "playing" | "rung" | "ended" | "throttled" | "terminated" | "error";

export interface Answer {
  said: Said;
  director: string;
  subscription: string;
  node: string;
  rung: number;
  ticket: string;
  reason: string;
  retryAfter: Micros;
}

const known: readonly string[] = ["hello", "playing", "rung", "ended", "throttled", "terminated", "error"];

export function askText(id: string, ask: Ask): string {
  const json: Record<string, unknown> = {
    type: "ask",
    id,
    key: ask.key,
    viewer: ask.viewer,
    title: ask.title,
    room: ask.room,
  };
  if (ask.top !== undefined) json["top"] = ask.top;
  if (ask.tenant) json["tenant"] = ask.tenant;
  if (ask.again) json["again"] = ask.again;
  // Rounded up: the key must not look younger than it is.
  if (ask.againAge !== undefined) json["againMs"] = Math.ceil(ask.againAge / 1000);
  if (ask.timeout !== undefined) json["timeoutMs"] = Math.max(1, Math.trunc(ask.timeout / 1000));
  if (ask.length !== undefined) json["lengthMs"] = Math.trunc(ask.length / 1000);
  return JSON.stringify(json);
}

export function leaveText(id: string): string {
  return JSON.stringify({ type: "leave", id });
}

// Undefined for what is no message of a director.
export function readAnswer(text: string): Answer | undefined {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (typeof json !== "object" || json === null || Array.isArray(json)) return undefined;
  const fields = json as Record<string, unknown>;
  const word = (name: string): string => (typeof fields[name] === "string" ? (fields[name] as string) : "");
  const number = (name: string): number => {
    const value = fields[name];
    return typeof value === "number" && Number.isFinite(value) && value >= 0 ? Math.trunc(value) : 0;
  };
  const type = word("type");
  if (!known.includes(type)) return undefined;
  return {
    said: type as Said,
    director: word("director"),
    subscription: word("subscription"),
    node: word("node"),
    rung: number("rung"),
    ticket: word("ticket"),
    reason: word("reason"),
    retryAfter: Math.min(number("retryAfterMs"), 24 * 3600 * 1000) * 1000,
  };
}
